/**
 * How an instance stands to a partition. `suspended`: its lease has lapsed and nobody else has taken the partition; it
 * keeps its work and commits nothing.
 */
export type OwnershipState = "idle" | "held" | "suspended" | "releasing";
