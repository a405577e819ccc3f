import type { PromptPart } from "@knapweedwood/fleet.view/promptPart";

/** What the placement of an online request depends on. */
export interface PlacementRequest {
    /** The parts of the prompt in their order, shape [parts]. */
    promptParts: readonly PromptPart[];
    /** Time until which a response meets the route's objective, in milliseconds on the clock of the queue. */
    objectiveAtMs: number;
    /** Longest gap between events that meets the objective of a stream, in milliseconds; undefined if there is none. */
    maxEventGapMs?: number | undefined;
}
