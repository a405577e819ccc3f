import { setDeadlineTimer } from "@knapweedwood/core.clock/setDeadlineTimer";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import loglevel from "loglevel";
import sonicBoom from "sonic-boom";
import { FlushWait } from "./flushWait.js";

const STANDARD_OUTPUT = 1;
/** Limit of output buffered for a slow reader; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Lines are buffered into writes of about this size. */
const MIN_WRITE_BYTES = 4096;
const FLUSH_INTERVAL_MS = 250;

/**
 * Opens a log target on standard output that never blocks. If the reader stops reading, lines are dropped.
 *
 * @returns the target, and a function that flushes the buffer and resolves to whether the reader accepted all of it; to
 *     false once the reader accepts nothing more, or at the limit of `FlushWait`
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
    return { target, flush: () => flush(output) };
}

function flush(output: sonicBoom.SonicBoom): Promise<boolean> {
    const clock = new SystemClock();
    const wait = new FlushWait(clock.nowMs());
    output.on("write", () => wait.onProgress(clock.nowMs()));
    return new Promise(resolve => {
        const check = () => {
            const remainingMs = wait.remainingMs(clock.nowMs());
            if (remainingMs === 0) {
                resolve(false);
                return;
            }
            setDeadlineTimer(clock, remainingMs, check);
        };
        check();
        output.flush(() => resolve(true));
    });
}
