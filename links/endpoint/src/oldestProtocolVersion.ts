/** Oldest version of the protocol between processes that is still supported. */
export const oldestProtocolVersion = 1;
