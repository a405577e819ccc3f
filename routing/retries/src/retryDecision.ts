/** Whether to try again, and when. */
export type RetryDecision =
    | { kind: "retry"; delayMs: number; }
    | {
        kind: "give-up";
        reason: "answered" | "not-repeatable" | "refused" | "attempts" | "deadline" | "budget";
    };
