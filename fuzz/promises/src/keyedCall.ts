/** The result of one attempt at a call with an idempotency key, as its caller saw it. */
export interface KeyedCall {
    key: string;
    outcome: "answered" | "not-run" | "unknown" | "in-progress";
    /** The response body; only where the outcome is `answered`. */
    body: string | undefined;
}
