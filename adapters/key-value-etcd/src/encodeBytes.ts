/** Encodes bytes or text as base64 for the JSON gateway. */
export function encodeBytes(bytes: Uint8Array | string): string {
    return Buffer.from(bytes as Uint8Array).toString("base64");
}
