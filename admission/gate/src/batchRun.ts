import type { ActiveStream } from "./activeStream.js";
import type { StopReason } from "./stopReason.js";

/** The stream of a running batch item. */
export interface BatchRun {
    abort: AbortController;
    stream: ActiveStream;
    producedTokens: number;
    stopReason: StopReason | undefined;
}
