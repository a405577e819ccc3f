/** Direction through a relay: `forward` is away from the end that connects. */
export type NetworkDirection = "forward" | "backward";
