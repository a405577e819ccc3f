/** Yields the complete lines of a UTF-8 stream, without empty lines. */
export async function* splitLines(stream: AsyncIterable<Uint8Array>): AsyncIterable<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of stream) {
        const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
        rest = lines.pop() ?? "";
        yield* lines.filter(line => line !== "");
    }
}
