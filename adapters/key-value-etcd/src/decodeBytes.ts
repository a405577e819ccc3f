/** Bytes from the base64 of the JSON gateway, which leaves empty values out. */
export function decodeBytes(text: string | undefined): Buffer {
    return Buffer.from(text ?? "", "base64");
}
