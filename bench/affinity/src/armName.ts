/** Strategies for choosing an upstream that the benchmark compares. */
export type ArmName =
    | "random"
    | "least-loaded-of-two"
    | "prefix-hash"
    | "prefix-index"
    | "prefix-index-with-events"
    | "full-knowledge";
