import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

const DATA_PREFIX = "data:";
/** Maximum length of a line that has not ended, in characters. */
const MAX_LINE_LENGTH = 1_048_576;

/** Extracts the data fields from a stream of server-sent events. */
export class ServerSentEventReader {
    private readonly decoder = new TextDecoder();
    private rest = "";

    /**
     * Reads the next bytes. Throws `ENGINE_LINE_TOO_LONG` (outcome `unknown`) if a line does not end.
     *
     * @returns the data of the events that these bytes complete, in order, shape [events]
     */
    read(bytes: Uint8Array): string[] {
        const text = this.decoder.decode(bytes, { stream: true });
        const end = text.lastIndexOf("\n");
        if (end < 0) {
            this.rest += text;
            this.checkLength();
            return [];
        }
        const lines = (this.rest + text.slice(0, end)).split("\n");
        this.rest = text.slice(end + 1);
        return lines
            .filter(line => line.startsWith(DATA_PREFIX))
            .map(line => line.slice(DATA_PREFIX.length).trim());
    }

    private checkLength(): void {
        if (this.rest.length > MAX_LINE_LENGTH) {
            throw new KnapweedError(
                "ENGINE_LINE_TOO_LONG",
                `A line of the engine's stream has more than ${MAX_LINE_LENGTH} characters`,
                { outcome: "unknown", statusCode: 502 },
            );
        }
    }
}
