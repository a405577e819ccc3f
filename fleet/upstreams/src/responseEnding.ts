/**
 * What shows that a response has ended: its length, its last chunk, or, without either, that the upstream closes the
 * connection.
 */
export type ResponseEnding = "length" | "last-chunk" | "close";
