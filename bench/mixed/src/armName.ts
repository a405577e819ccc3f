/** Name of an arm: a online alone, b first come, first served, c fleet split in two, d the gate. */
export type ArmName = "a" | "b" | "c" | "d";
