/** Online alone, first come first served, fleet split in two, the gate. */
export type ArmName = "a" | "b" | "c" | "d";
