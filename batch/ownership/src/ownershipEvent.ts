/** Events of {@link ownershipChart}. */
export type OwnershipEvent = "acquired" | "lapsed" | "taken" | "release" | "released";
