/** What the holder of a key may do. */
export type Role = "platform-operator" | "team-operator" | "caller";
