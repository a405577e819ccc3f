/** How a server ends a connection. `late-reset` leaves the client time to read what was sent before. */
export type ConnectionEnding = "close" | "reset" | "late-reset" | "close-and-reset";
