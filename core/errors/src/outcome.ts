/**
 * Outcome of a request as far as its caller can determine it. `answered`: the request was handled, and its response,
 * which may be an error, has arrived. `not-run`: no upstream has started the request. `unknown`: it may have run.
 */
export type Outcome = "answered" | "not-run" | "unknown";
