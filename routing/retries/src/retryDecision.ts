/** Whether to retry a failed attempt, and after which delay in milliseconds. */
export type RetryDecision =
    | { kind: "retry"; delayMs: number; }
    | {
        kind: "give-up";
        reason: "answered" | "not-repeatable" | "refused" | "attempts" | "deadline" | "budget";
    };
