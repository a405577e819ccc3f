import type { BatchCandidate } from "./batchCandidate.js";

/** The slots of one upstream in which items may start now. */
export interface ItemSlots {
    candidate: BatchCandidate;
    /** Number of slots, at least 1. */
    count: number;
    /** Whether this is the last idle slot for online requests, which one item may have while no request arrives. */
    isLent: boolean;
}
