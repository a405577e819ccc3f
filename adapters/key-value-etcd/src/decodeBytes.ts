/** Decodes a base64 value of the JSON gateway. The gateway omits empty values, so `undefined` gives an empty buffer. */
export function decodeBytes(text: string | undefined): Buffer {
    return Buffer.from(text ?? "", "base64");
}
