import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/**
 * Collects garbage and returns the bytes of the heap that are still referenced. Buffers, such as segments in memory,
 * are not included.
 */
export function heapAfterCollection(): number {
    collect();
    collect();
    return process.memoryUsage().heapUsed;
}
