/**
 * What may be done with a request of a route.
 * `idempotent` ones may run more than once, `non-idempotent` ones at most once; `stream` answers are event streams;
 * `batch` routes take jobs.
 */
export type RouteKind = "idempotent" | "non-idempotent" | "stream" | "batch";
