/**
 * What a caller may conclude about its request.
 * `not-run` is only ever said when no upstream has begun the request.
 */
export type Outcome = "answered" | "not-run" | "unknown";
