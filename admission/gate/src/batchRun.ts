import type { ActiveStream } from "./activeStream.js";
import type { StopReason } from "./stopReason.js";

/** The stream of a batch item that runs. */
export interface BatchRun {
    abort: AbortController;
    stream: ActiveStream;
    producedTokens: number;
    stopReason: StopReason | undefined;
}
