/**
 * What a caller can conclude about its request.
 * `not-run` is used only if no upstream has started the request.
 */
export type Outcome = "answered" | "not-run" | "unknown";
