/** Returns a record as JSON in UTF-8. */
export function encodeRecord(value: unknown): Uint8Array {
    return Buffer.from(JSON.stringify(value), "utf8");
}
