/** Returns text as one segment of a key, so that a slash in it separates nothing. */
export function encodeKeySegment(text: string): string {
    return text.replace(/[%/]/gu, encodeURIComponent);
}
