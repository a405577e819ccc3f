/** The bytes of a record. */
export function encodeRecord(value: unknown): Uint8Array {
    return Buffer.from(JSON.stringify(value), "utf8");
}
