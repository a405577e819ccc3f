import type { WorkSize } from "./gateState.js";

/** A request that the engine works on. */
export interface ActiveStream extends WorkSize {
    kind: "online" | "batch";
    startedAtMs: number;
    hasFirstToken: boolean;
}
