/** Bytes or text as the base64 of the JSON gateway. */
export function encodeBytes(bytes: Uint8Array | string): string {
    return Buffer.from(bytes as Uint8Array).toString("base64");
}
