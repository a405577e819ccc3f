/** Decodes a record that this project wrote. */
export function decodeRecord<Value>(bytes: Uint8Array): Value {
    return JSON.parse(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString("utf8")) as Value;
}
