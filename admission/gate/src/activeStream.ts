import type { WorkSize } from "./gateState.js";

/** A request that was sent to the engine and has not ended. */
export interface ActiveStream extends WorkSize {
    kind: "online" | "batch";
    /** When the request was sent, in milliseconds on the gate's clock. */
    startedAtMs: number;
    hasFirstToken: boolean;
}
