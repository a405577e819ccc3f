import type { Clock } from "@knapweedwood/core.clock/clock";
import { ThinPartLimit } from "./thinPartLimit.js";

/** Size of a stream that may come at once, in bytes. */
const BURST_BYTES = 33_554_432;
/** Number of events without content that may come at once. */
const BURST_EVENTS = 8192;
/** Bytes of a stream that may come in a millisecond for long. */
const BYTES_PER_MS = 256;
/** Events that a stream may have for each token that the request allows. */
const EVENTS_PER_TOKEN = 2;
/** Events that a stream may have besides those with tokens. */
const EXTRA_EVENTS = 64;

/** Limits the response of one attempt at a stream, by what the request allows and by the time that the response takes. */
export class StreamLimit {
    private readonly clock: Clock;
    private readonly thinParts: ThinPartLimit;
    private readonly startedAtMs: number;
    private readonly maxEvents: number;
    private events = 0;
    private sizeBytes = 0;

    /** @param opts.maxTokens number of tokens that the request allows the response to have; undefined if it names none */
    constructor(opts: { clock: Clock; maxTokens: number | undefined; }) {
        const { clock, maxTokens } = opts;
        this.clock = clock;
        this.thinParts = new ThinPartLimit({ clock, burstParts: BURST_EVENTS });
        this.startedAtMs = clock.nowMs();
        this.maxEvents = maxTokens === undefined ? Infinity : maxTokens * EVENTS_PER_TOKEN + EXTRA_EVENTS;
    }

    /** Counts `events` that ended in `bytes` of the stream. @returns whether the response may go on */
    allows(events: number, bytes: number): boolean {
        this.events += events;
        this.sizeBytes += bytes;
        return this.events <= this.maxEvents
            && this.thinParts.allows(events, bytes)
            && (this.sizeBytes <= BURST_BYTES || this.sizeBytes <= BURST_BYTES + this.elapsedMs() * BYTES_PER_MS);
    }

    private elapsedMs(): number {
        return this.clock.nowMs() - this.startedAtMs;
    }
}
