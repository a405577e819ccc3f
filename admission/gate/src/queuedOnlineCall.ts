import type { ActiveStream } from "./activeStream.js";
import type { WorkSize } from "./gateState.js";

/** An online call that waits at the gate. */
export interface QueuedOnlineCall {
    size: WorkSize;
    arrivedAtMs: number;
    deadlineMs: number | undefined;
    /** Admits the call to the engine. */
    admit(stream: ActiveStream): void;
    /** Rejects the call, which has not run. */
    reject(thrown: unknown): void;
}
