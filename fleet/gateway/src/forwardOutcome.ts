/**
 * Result of forwarding data of a response. `too-large`: the response can't be used. `foreign`: neither can it, since it has bytes
 * that are no part of such a response. `no-memory`: the process has no room
 * for a response that is collected before it is sent.
 */
export type ForwardOutcome = "forwarded" | "too-large" | "foreign" | "no-memory";
