/** Events of {@link ownershipChart}. `lapsed`: the lease has expired. `taken`: another instance owns the partition. */
export type OwnershipEvent = "acquired" | "lapsed" | "taken" | "release" | "released";
