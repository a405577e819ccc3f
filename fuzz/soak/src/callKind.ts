/** What may be done with a call: `idempotent` and `stream` ones may run again, the others once at most. */
export type CallKind = "idempotent" | "once" | "stream" | "stream-once" | "probe";
