import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Bytes on the heap that are still referred to; buffers, such as segments held in memory, are not among them. */
export function heapAfterCollection(): number {
    collect();
    collect();
    return process.memoryUsage().heapUsed;
}
