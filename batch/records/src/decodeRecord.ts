/** Returns the record that {@link encodeRecord} encoded as `bytes`. */
export function decodeRecord<Value>(bytes: Uint8Array): Value {
    return JSON.parse(Buffer.from(bytes).toString("utf8")) as Value;
}
