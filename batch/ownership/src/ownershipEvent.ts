/** What moves an instance's ownership of a partition. */
export type OwnershipEvent = "acquired" | "lapsed" | "taken" | "release" | "released";
