/** The lines of a stream of UTF-8 text, without empty ones. */
export async function* splitLines(stream: AsyncIterable<Uint8Array>): AsyncIterable<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of stream) {
        const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
        rest = lines.pop() ?? "";
        yield* lines.filter(line => line !== "");
    }
}
