/**
 * The kind of a call. Upstreams may run `idempotent` and `stream` calls again. They run `once` and `stream-once` calls
 * at most once. A `probe` asks a gateway for the route of one configuration. A `crashing` call is idempotent and ends
 * each upstream that begins to run it. A `slow` call is idempotent; its caller reads a long response slowly or not at all.
 */
export type CallKind = "idempotent" | "once" | "stream" | "stream-once" | "probe" | "crashing" | "slow";
