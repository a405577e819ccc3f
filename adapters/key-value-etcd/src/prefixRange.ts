import { encodeBytes } from "./encodeBytes.js";
import type { EtcdRangeRequest } from "./etcdRangeRequest.js";

const MAX_BYTE = 0xff;

/** Returns the range of all keys that start with `prefix` and sort after `afterKey`. */
export function prefixRange(prefix: string, afterKey?: string): EtcdRangeRequest {
    const first = afterKey !== undefined && afterKey >= prefix ? `${afterKey}\0` : prefix;
    return { key: encodeBytes(first === "" ? "\0" : first), range_end: encodeBytes(endOf(Buffer.from(prefix))) };
}

/** Returns the first key after all keys that start with `prefix`, or a zero byte, which etcd reads as "no end". */
function endOf(prefix: Buffer): Uint8Array {
    const index = prefix.findLastIndex(byte => byte < MAX_BYTE);
    if (index < 0) {
        return Uint8Array.of(0);
    }
    const end = Buffer.from(prefix.subarray(0, index + 1));
    end[index] = (end[index] ?? 0) + 1;
    return end;
}
