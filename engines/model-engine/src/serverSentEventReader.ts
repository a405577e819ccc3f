const DATA_PREFIX = "data:";

/** Extracts the data fields from a stream of server-sent events. */
export class ServerSentEventReader {
    private readonly decoder = new TextDecoder();
    private rest = "";

    /** @returns the data of the events that these bytes complete, in order, shape [events] */
    read(bytes: Uint8Array): string[] {
        const lines = (this.rest + this.decoder.decode(bytes, { stream: true })).split("\n");
        this.rest = lines.pop() ?? "";
        return lines
            .filter(line => line.startsWith(DATA_PREFIX))
            .map(line => line.slice(DATA_PREFIX.length).trim());
    }
}
