import { ByteCollector } from "./byteCollector.js";
import { EventBoundaries } from "./eventBoundaries.js";
import { maxEventBytes } from "./maxEventBytes.js";
import type { StreamEvent } from "./streamEvent.js";

/** A line that belongs to an event: one of its fields, or a comment. */
const FIELD = /^(?:data|event|id|retry)?:|^(?:data|event|id|retry)$/u;

/**
 * Splits the bytes of a server-sent event stream into complete events. Stops at an event that is larger than
 * `maxEventBytes`.
 */
export class EventSplitter {
    /** Whether an event was too large. Neither it nor what follows is returned. */
    isOverLimit = false;
    private readonly boundaries = new EventBoundaries();
    private readonly pending = new ByteCollector();

    /** Whether a part of an event has arrived that isn't returned, since it is incomplete or too large. */
    get hasPartialEvent(): boolean {
        return this.isOverLimit || this.boundaries.isInsideEvent;
    }

    /** Returns the events that `chunk` completes, shape [events]. */
    push(chunk: Buffer): StreamEvent[] {
        if (this.isOverLimit) {
            return [];
        }
        const ends = this.boundaries.push(chunk);
        const events = ends.map((end, index) => chunk.subarray(ends[index - 1] ?? 0, end));
        const rest = chunk.subarray(ends.at(-1) ?? 0);
        const complete = events.map((part, index) => index === 0 ? this.takePending(part) : part);
        if (rest.length > 0) {
            this.pending.append(rest);
        }
        return this.dropOverLimit(complete).map(parseEvent);
    }

    /** Returns the whole event that `lastPart` completes. */
    private takePending(lastPart: Buffer): Buffer {
        if (this.pending.sizeBytes === 0) {
            return lastPart;
        }
        this.pending.append(lastPart);
        const event = this.pending.toBuffer();
        this.pending.clear();
        return event;
    }

    private dropOverLimit(events: Buffer[]): Buffer[] {
        const firstTooLarge = events.findIndex(event => event.length > maxEventBytes);
        this.isOverLimit = firstTooLarge >= 0 || this.pending.sizeBytes > maxEventBytes;
        if (this.isOverLimit) {
            this.pending.clear();
        }
        return firstTooLarge < 0 ? events : events.slice(0, firstTooLarge);
    }
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
        isForeign: lines.some(line => line !== "") && !lines.some(line => FIELD.test(line)),
    };
}
