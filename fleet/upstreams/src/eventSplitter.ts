import type { StreamEvent } from "./streamEvent.js";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Splits the bytes of a server-sent event stream into complete events. */
export class EventSplitter {
    private pending: Buffer = Buffer.alloc(0);

    /** Whether bytes of an incomplete event have arrived. */
    get hasPartialEvent(): boolean {
        return this.pending.length > 0;
    }

    /** Returns the events that `chunk` completes, shape [events]. */
    push(chunk: Buffer): StreamEvent[] {
        const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = endOfEvent(bytes, start); end > 0; end = endOfEvent(bytes, start)) {
            events.push(parseEvent(bytes.subarray(start, end)));
            start = end;
        }
        this.pending = bytes.subarray(start);
        return events;
    }
}

/** Returns the offset after the blank line that ends the event at `start`; 0 if the event is incomplete. */
function endOfEvent(bytes: Buffer, start: number): number {
    for (let feed = bytes.indexOf(LINE_FEED, start); feed >= 0; feed = bytes.indexOf(LINE_FEED, feed + 1)) {
        const next = bytes[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
        if (bytes[next] === LINE_FEED) {
            return next + 1;
        }
    }
    return 0;
}

function parseEvent(bytes: Buffer): StreamEvent {
    const lines = bytes.toString("utf8").split(/\r?\n/u);
    const idLine = lines.find(line => line.startsWith("id:"));
    const id = idLine === undefined ? undefined : Number(idLine.slice("id:".length));
    return {
        id: id === undefined || Number.isNaN(id) ? undefined : id,
        data: lines
            .filter(line => line.startsWith("data:"))
            .map(line => line.slice(line.startsWith("data: ") ? "data: ".length : "data:".length))
            .join("\n"),
        bytes,
    };
}
