/** Role of an API key. It determines which operations the key permits. */
export type Role = "platform-operator" | "team-operator" | "caller";
