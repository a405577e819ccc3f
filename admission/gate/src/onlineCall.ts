import type { ActiveStream } from "./activeStream.js";
import type { WorkSize } from "./gateState.js";

/** An online call that waits at the gate. */
export interface OnlineCall {
    size: WorkSize;
    arrivedAtMs: number;
    deadlineMs: number | undefined;
    /** Lets the call into the engine. */
    admit(stream: ActiveStream): void;
    /** Refuses the call, which has not run. */
    reject(thrown: unknown): void;
}
