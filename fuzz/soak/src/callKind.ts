/**
 * The kind of a call. Upstreams may run `idempotent` and `stream` calls again. They run `once` and `stream-once` calls
 * at most once. A `probe` asks a gateway for the route of one configuration.
 */
export type CallKind = "idempotent" | "once" | "stream" | "stream-once" | "probe";
