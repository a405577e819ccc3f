/** Returns the padding that a request body asks for at the end of a response that isn't a stream. */
export function paddingOf(body: string): string {
    const { padding = 0 } = JSON.parse(body) as { padding?: number; };
    return " ".repeat(padding);
}
