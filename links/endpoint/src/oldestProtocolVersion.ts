/** Oldest version of the protocol between processes that is still spoken. */
export const oldestProtocolVersion = 1;
