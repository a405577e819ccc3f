/**
 * State of an instance's ownership of a partition. `suspended`: its lease has expired and no other instance has taken
 * the partition; it keeps its work and commits nothing.
 */
export type OwnershipState = "idle" | "held" | "suspended" | "releasing";
