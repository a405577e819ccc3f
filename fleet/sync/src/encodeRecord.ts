/** Encodes a record as JSON bytes. */
export function encodeRecord(record: object): Uint8Array {
    return Buffer.from(JSON.stringify(record));
}
