import type { ItemHistory } from "@knapweedwood/batch.jobs/itemHistory";

/** What happens to an item after a failed attempt. */
export type AttemptDecision =
    | { kind: "retry"; notBeforeMs: number; history: ItemHistory; }
    | { kind: "set-aside"; code: string; message: string; };
