/**
 * What showed that a response had ended: its length, its last chunk, or, without either, that the upstream closed or
 * reset the connection.
 */
export type ResponseEnding = "length" | "last-chunk" | "close" | "reset";
