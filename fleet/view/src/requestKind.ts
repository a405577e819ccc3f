/**
 * Kind of the requests of a route. `idempotent` requests may run more than once, `non-idempotent` requests at most
 * once. `stream` requests have event streams as responses. `batch` routes accept jobs.
 */
export type RequestKind = "idempotent" | "non-idempotent" | "stream" | "batch";
