const DATA_PREFIX = "data:";

/** Splits a stream of server-sent events into their data. */
export class ServerSentEventReader {
    private readonly decoder = new TextDecoder();
    private rest = "";

    /** @returns the data of the events that end in these bytes, in order, shape [events] */
    read(bytes: Uint8Array): string[] {
        const lines = (this.rest + this.decoder.decode(bytes, { stream: true })).split("\n");
        this.rest = lines.pop() ?? "";
        return lines
            .filter(line => line.startsWith(DATA_PREFIX))
            .map(line => line.slice(DATA_PREFIX.length).trim());
    }
}
