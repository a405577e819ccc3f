/**
 * Name of an arm. In `a`, only online calls run. In `b`, the fleet serves online and batch work first come, first
 * served. In `c`, the fleet is split between the two. In `d`, the gate admits both.
 */
export type ArmName = "a" | "b" | "c" | "d";
