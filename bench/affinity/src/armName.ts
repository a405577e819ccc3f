/** The ways of choosing that are compared. */
export type ArmName =
    | "random"
    | "least-loaded-of-two"
    | "prefix-hash"
    | "prefix-index"
    | "prefix-index-with-events"
    | "full-knowledge";
