/** The record in `bytes`, as {@link encodeRecord} wrote it. */
export function decodeRecord<Value>(bytes: Uint8Array): Value {
    return JSON.parse(Buffer.from(bytes).toString("utf8")) as Value;
}
