/** One attempt of a caller at a call with an idempotency key, as the oracle saw it end. */
export interface KeyedCall {
    key: string;
    outcome: "answered" | "not-run" | "unknown" | "in-progress";
    body: string | undefined;
}
