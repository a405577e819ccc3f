/** Version of the protocol between processes. */
export const protocolVersion = 1;
