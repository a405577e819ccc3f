/** Returns the text of a key's segment that `encodeKeySegment` has made. */
export function decodeKeySegment(segment: string): string {
    return segment.replaceAll("%2F", "/").replaceAll("%25", "%");
}
