/**
 * How a server ends a connection while a body is being sent to it: it resets it, closes it with unread data, sends an end before it
 * closes it with unread data, or sends an end and reads on until the client has ended, too.
 */
export type UploadEnding = "reset" | "unread" | "end-then-unread" | "end-then-read";
