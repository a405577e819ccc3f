import loglevel from "loglevel";
import sonicBoom from "sonic-boom";

const STANDARD_OUTPUT = 1;
/** Limit of output buffered for a slow reader; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Lines are buffered into writes of about this size. */
const MIN_WRITE_BYTES = 4096;
const FLUSH_INTERVAL_MS = 250;
/** Time that a stopping process waits until its last lines are read. */
const FLUSH_TIMEOUT_MS = 200;

/**
 * Opens a log target on standard output that never blocks. If the reader stops reading, lines are dropped.
 *
 * @returns the target, and a function that flushes the buffer and resolves to whether the reader accepted it within
 *     `FLUSH_TIMEOUT_MS`
 */
export function openBoundedOutput(
    level: loglevel.LogLevelDesc,
): { target: loglevel.Logger; flush: () => Promise<boolean>; } {
    const output = new sonicBoom.SonicBoom({
        fd: STANDARD_OUTPUT,
        sync: false,
        minLength: MIN_WRITE_BYTES,
        maxLength: MAX_BUFFERED_BYTES,
        periodicFlush: FLUSH_INTERVAL_MS,
    });
    let droppedCount = 0;
    output.on("drop", () => {
        droppedCount += 1;
    });
    output.on("error", () => {
        droppedCount += 1;
    });
    const target = loglevel.getLogger(Symbol("knapweedwood-output"));
    target.methodFactory = () => line => {
        if (droppedCount > 0) {
            const count = droppedCount;
            droppedCount = 0;
            output.write(`${JSON.stringify({ level: "warn", event: "log-lines-dropped", count })}\n`);
        }
        output.write(`${String(line)}\n`);
    };
    target.setLevel(level, false);
    const flush = () =>
        new Promise<boolean>(resolve => {
            setTimeout(() => resolve(false), FLUSH_TIMEOUT_MS);
            output.flush(() => resolve(true));
        });
    return { target, flush };
}
