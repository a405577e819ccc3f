const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const BLANK_LINES = new Set(["", "\r"]);
/** Number of bytes at the beginning of a line that tell whether it is blank. */
const LINE_PREFIX_BYTES = 2;
/** A line that isn't blank. A blank line before the first byte of an event ends nothing. */
const NO_BLANK_LINE = "--";

/** Finds where the events of a server-sent event stream end. Reads each byte once. */
export class EventBoundaries {
    /** Whether an event has begun but not ended. Blank lines between events begin none. */
    isInsideEvent = false;
    /** Size of the event that has begun but not ended, in bytes. */
    partialEventBytes = 0;
    /** First bytes of the line that has begun but not ended. */
    private linePrefix = NO_BLANK_LINE;

    /** Returns the offsets in `chunk` after the blank lines that end events, shape [events]. */
    push(chunk: Buffer): number[] {
        const ends: number[] = [];
        let lineStart = 0;
        for (let feed = chunk.indexOf(LINE_FEED); feed >= 0; feed = chunk.indexOf(LINE_FEED, lineStart)) {
            const isBlank = BLANK_LINES.has(this.linePrefixOf(chunk, lineStart, feed));
            lineStart = feed + 1;
            this.linePrefix = isBlank ? NO_BLANK_LINE : "";
            if (isBlank) {
                ends.push(lineStart);
            }
        }
        this.linePrefix = this.linePrefixOf(chunk, lineStart, chunk.length);
        const lastEnd = ends.at(-1);
        const hasContent = chunk.subarray(lastEnd ?? 0).some(isContent);
        this.isInsideEvent = hasContent || (this.isInsideEvent && lastEnd === undefined);
        this.partialEventBytes = lastEnd === undefined
            ? this.partialEventBytes + chunk.length
            : chunk.length - lastEnd;
        return ends;
    }

    private linePrefixOf(chunk: Buffer, start: number, end: number): string {
        const missingBytes = LINE_PREFIX_BYTES - this.linePrefix.length;
        return this.linePrefix + chunk.toString("latin1", start, Math.min(end, start + missingBytes));
    }
}

function isContent(byte: number): boolean {
    return byte !== LINE_FEED && byte !== CARRIAGE_RETURN;
}
