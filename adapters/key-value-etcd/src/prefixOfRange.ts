import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { decodeBytes } from "./decodeBytes.js";
import type { EtcdRangeRequest } from "./etcdRangeRequest.js";
import type { KeyPrefix } from "./keyPrefix.js";
import { prefixRange } from "./prefixRange.js";

/** Returns the prefix whose keys a range covers. Throws `ETCD_UNSUPPORTED` for ranges that don't cover one prefix. */
export function prefixOfRange(range: EtcdRangeRequest): KeyPrefix {
    const prefix = prefixEndingBefore(decodeBytes(range.range_end));
    const first = decodeBytes(range.key).toString();
    const startsAtPrefix = prefixRange(prefix).key === range.key;
    const afterKey = startsAtPrefix ? undefined : first.replace(/\0$/u, "");
    if (afterKey !== undefined && (!first.endsWith("\0") || !afterKey.startsWith(prefix))) {
        throw new KnapweedError("ETCD_UNSUPPORTED", "Only ranges that cover one key prefix are supported.");
    }
    return { prefix, afterKey };
}

function prefixEndingBefore(end: Buffer): string {
    const last = end.at(-1);
    if (last === undefined || last === 0) {
        return "";
    }
    const prefix = Buffer.from(end);
    prefix[prefix.byteLength - 1] = last - 1;
    return prefix.toString();
}
