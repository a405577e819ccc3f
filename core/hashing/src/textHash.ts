const FNV_OFFSET = 0x811c_9dc5;
const FNV_PRIME = 0x0100_0193;

/**
 * Returns the FNV-1a hash of the UTF-16 code units of `text`, an unsigned 32-bit integer. `start` is the hash of
 * preceding text, or a salt.
 */
export function textHash(text: string, start = FNV_OFFSET): number {
    let hash = start;
    for (let position = 0; position < text.length; position += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(position), FNV_PRIME);
    }
    return hash >>> 0;
}
