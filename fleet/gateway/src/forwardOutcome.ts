/**
 * Result of forwarding data of a response. `too-large`: the response can't be used. `no-memory`: the process has no room
 * for a response that is collected before it is sent.
 */
export type ForwardOutcome = "forwarded" | "too-large" | "no-memory";
