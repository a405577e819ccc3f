const DATA_PREFIX = "data:";

/** Yields the data of each server-sent event of a response body. */
export async function* serverSentEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const bytes of body) {
        const lines = (rest + decoder.decode(bytes, { stream: true })).split("\n");
        rest = lines.pop() ?? "";
        yield* lines
            .filter(line => line.startsWith(DATA_PREFIX))
            .map(line => line.slice(DATA_PREFIX.length).trim());
    }
}
