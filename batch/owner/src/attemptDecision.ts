import type { ItemHistory } from "@knapweedwood/batch.jobs/itemHistory";

/** Outcome of a failed attempt: the item is retried after `notBeforeMs`, or fails permanently. */
export type AttemptDecision =
    | { kind: "retry"; notBeforeMs: number; history: ItemHistory; }
    | { kind: "abandoned"; code: string; message: string; };
