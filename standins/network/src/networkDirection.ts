/** Direction through a relay: `forward` is from the connecting client to the target. */
export type NetworkDirection = "forward" | "backward";
