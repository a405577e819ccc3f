import { encodeBytes } from "./encodeBytes.js";
import type { EtcdRangeRequest } from "./etcdRangeRequest.js";

const MAX_BYTE = 0xff;

/** The range of all keys that start with `prefix` and come after `afterKey`. */
export function prefixRange(prefix: string, afterKey?: string): EtcdRangeRequest {
    const first = afterKey !== undefined && afterKey >= prefix ? `${afterKey}\0` : prefix;
    return { key: encodeBytes(first === "" ? "\0" : first), range_end: encodeBytes(endOf(Buffer.from(prefix))) };
}

/** The first key after all that start with `prefix`; a zero byte stands for the end of all keys. */
function endOf(prefix: Buffer): Uint8Array {
    const index = prefix.findLastIndex(byte => byte < MAX_BYTE);
    if (index < 0) {
        return Uint8Array.of(0);
    }
    const end = Buffer.from(prefix.subarray(0, index + 1));
    end[index] = (end[index] ?? 0) + 1;
    return end;
}
