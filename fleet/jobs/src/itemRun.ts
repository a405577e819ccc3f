import type { Clock } from "@knapweedwood/core.clock/clock";
import { setDeadlineTimer } from "@knapweedwood/core.clock/setDeadlineTimer";
import type { Timer } from "@knapweedwood/core.clock/timer";
import { MAX_VALUE_SIZE_BYTES } from "@knapweedwood/core.key-value/maxValueSizeBytes";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import { EventSplitter } from "@knapweedwood/fleet.upstreams/eventSplitter";
import type { Exchange } from "@knapweedwood/fleet.upstreams/exchange";
import type { ExchangeFailure } from "@knapweedwood/fleet.upstreams/exchangeFailure";
import type { ResponseEnding } from "@knapweedwood/fleet.upstreams/responseEnding";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";
import { StreamLimit } from "@knapweedwood/fleet.upstreams/streamLimit";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { discardEvents } from "./discardEvents.js";
import { itemHeadersOf } from "./itemHeadersOf.js";
import type { ItemRunHeaders } from "./itemRunHeaders.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import type { JobCaller } from "./jobCaller.js";
import type { JobItem } from "./jobItem.js";

const HTTP_OK = 200;
const HTTP_MISDIRECTED = 421;
const HTTP_UNPROCESSABLE = 422;
/** Time without a complete event after which a run counts as broken, in milliseconds. */
const STALL_MS = 1500;
const CUT: ItemRunOutcome = {
    kind: "broken",
    code: "ANSWER_CUT",
    isUnreachable: false,
    isConnectionBroken: true,
};
/** Room for the other fields of a record in a value of the key-value service, in bytes. */
const RECORD_OVERHEAD_BYTES = 100_000;
/** Maximum size of an item's output as JSON, in bytes. */
const MAX_OUTPUT_BYTES = MAX_VALUE_SIZE_BYTES - RECORD_OVERHEAD_BYTES;

/**
 * One run of an item at an upstream. Appends the events to the item as they arrive. Ends as `garbled` with the code
 * `ANSWER_TOO_LARGE` when the output or one event is too large to be stored, or the response has too many bytes or
 * events without content, so that the item starts over.
 */
export class ItemRun {
    readonly item: JobItem;
    readonly upstream: Upstream;
    /** Time at which the item was sent or, before that, at which this run was created. */
    startedAtMs: number;
    /** What showed that the response had ended; undefined if it hasn't, or was broken off. */
    ending: ResponseEnding | undefined;
    private readonly clock: Clock;
    private readonly headers: ItemRunHeaders;
    private readonly onLeaving: () => void;
    private readonly onEnded: (outcome: ItemRunOutcome) => void;
    private readonly speeds: UpstreamSpeeds | undefined;
    private lastEventsAtMs: number | undefined;
    private readonly splitter = new EventSplitter();
    private readonly limit: StreamLimit;
    private exchange: Exchange | undefined;
    private head: ResponseHead | undefined;
    private stallTimer: Timer | undefined;
    private isEnded = false;
    private producedEvents = 0;
    /** Size of the item's output as JSON. */
    private outputBytes = 0;

    /** @param opts.onLeaving called when the upstream says in its response that it leaves */
    constructor(opts: {
        clock: Clock;
        headers: ItemRunHeaders;
        item: JobItem;
        upstream: Upstream;
        /** Where samples of the upstream's speed are recorded; undefined for nowhere. */
        speeds?: UpstreamSpeeds;
        onLeaving: () => void;
        onEnded: (outcome: ItemRunOutcome) => void;
    }) {
        this.clock = opts.clock;
        this.headers = opts.headers;
        this.item = opts.item;
        this.upstream = opts.upstream;
        this.speeds = opts.speeds;
        this.onLeaving = opts.onLeaving;
        this.onEnded = opts.onEnded;
        this.startedAtMs = opts.clock.nowMs();
        // The size of the whole output is limited.
        this.limit = new StreamLimit({ clock: opts.clock, maxTokens: undefined });
    }

    /**
     * Sends the item to the upstream. Asks it to resume after the last event received, if its service and software version
     * wrote the events; otherwise the item starts over.
     *
     * @param opts.caller who submitted the item, whose team its own headers can't set; undefined where there are no teams
     */
    start(
        connections: UpstreamConnections,
        opts: { host: string; body: Buffer; caller?: JobCaller | undefined; },
    ): void {
        const { item, headers } = this;
        const { service, softwareVersion } = this.upstream;
        this.startedAtMs = this.clock.nowMs();
        if (item.service !== service || item.softwareVersion !== softwareVersion) {
            discardEvents(item);
        }
        Object.assign(item, { service, softwareVersion });
        this.outputBytes = item.events.reduce((sum, event) => sum + jsonBytesOf(event), 0);
        this.restartStallTimer();
        this.exchange = connections.send(this.upstream, {
            method: "POST",
            path: item.record.path,
            headers: itemHeadersOf(item, {
                names: headers,
                host: opts.host,
                upstreamId: this.upstream.id,
                caller: opts.caller,
            }),
            body: opts.body,
            requestId: item.id,
        }, {
            onHead: head => {
                this.head = head;
                if (head.header(headers.leaving) !== undefined) {
                    this.onLeaving();
                }
            },
            onData: chunk => this.onData(chunk),
            onEnd: ending => this.onEnd(ending),
            onFailure: failure => this.end(this.outcomeOfFailure(failure)),
        });
    }

    /** Number of events that this run has produced so far. */
    get eventCount(): number {
        return this.producedEvents;
    }

    /** Ends the run at the upstream. The item keeps the events received so far. */
    abort(): void {
        this.isEnded = true;
        this.stallTimer?.cancel();
        this.exchange?.abort();
    }

    private onData(chunk: Buffer): void {
        if (this.isEnded) {
            return;
        }
        const isSuccess = this.head?.statusCode === HTTP_OK;
        const events = isSuccess ? this.splitter.push(chunk) : [];
        if (!this.limit.allows(events.length, chunk.length)) {
            this.endGarbled("ANSWER_TOO_LARGE");
            return;
        }
        if (events.length > 0) {
            this.restartStallTimer();
            this.recordSpeed(events.length);
        }
        events.forEach(event => {
            if (this.isEnded) {
                return;
            }
            if (event.id !== this.item.lastEventId + 1) {
                this.endGarbled("EVENT_OUT_OF_ORDER");
                return;
            }
            this.outputBytes += jsonBytesOf(event.data);
            if (this.outputBytes > MAX_OUTPUT_BYTES) {
                this.endGarbled("ANSWER_TOO_LARGE");
                return;
            }
            this.item.lastEventId = event.id;
            this.item.events.push(event.data);
            this.producedEvents += 1;
        });
        if (this.splitter.isOverLimit && !this.isEnded) {
            this.endGarbled("ANSWER_TOO_LARGE");
        }
    }

    private recordSpeed(eventCount: number): void {
        if (this.lastEventsAtMs === undefined) {
            this.speeds?.recordFirstData(this.upstream, this.startedAtMs);
        }
        else {
            this.speeds?.recordEvents(this.upstream, eventCount, this.lastEventsAtMs);
        }
        this.lastEventsAtMs = this.clock.nowMs();
    }

    private endGarbled(code: string): void {
        this.abort();
        this.onEnded({ kind: "garbled", code });
    }

    private onEnd(ending: ResponseEnding): void {
        const { head } = this;
        this.ending = ending;
        if (head === undefined || this.isEnded) {
            return;
        }
        this.end(this.outcomeOf(head, ending));
    }

    private outcomeOf(head: ResponseHead, ending: ResponseEnding): ItemRunOutcome {
        if (this.isNotRun(head)) {
            return this.notRunOutcomeOf(head);
        }
        if (head.statusCode === HTTP_UNPROCESSABLE) {
            return { kind: "impossible" };
        }
        if (head.statusCode !== HTTP_OK) {
            return { kind: "failed" };
        }
        if (head.header(this.headers.upstreamProof) === undefined) {
            return { kind: "garbled", code: "ANSWER_WITHOUT_PROOF" };
        }
        if (this.producedEvents === 0 && ending === "close") {
            // It was broken off before its first event, or nothing is left to send. Starting over settles which.
            discardEvents(this.item);
            return CUT;
        }
        if (this.item.lastEventId === 0) {
            return { kind: "garbled", code: "ANSWER_WITHOUT_EVENTS" };
        }
        return this.splitter.hasPartialEvent ? CUT : { kind: "completed" };
    }

    private outcomeOfFailure(failure: ExchangeFailure): ItemRunOutcome {
        const { mayHaveRun: _mayHaveRun, isUnsendable, code, message, ...broken } = failure;
        if (this.head !== undefined && this.isNotRun(this.head)) {
            return this.notRunOutcomeOf(this.head);
        }
        const reason = message === undefined ? { code } : { code, message };
        return isUnsendable === true ? { kind: "unsendable", ...reason } : { kind: "broken", ...broken, ...reason };
    }

    /** A version that the caller demands is another reason for 421 than another process at the upstream's address. */
    private notRunOutcomeOf({ statusCode }: ResponseHead): ItemRunOutcome {
        const { expectedVersion } = this.headers;
        const demandsVersion = this.item.record.headers.some(({ name }) => name.toLowerCase() === expectedVersion);
        return { kind: "not-run", isMisdirected: statusCode === HTTP_MISDIRECTED && !demandsVersion };
    }

    private isNotRun(head: ResponseHead): boolean {
        return head.header(this.headers.notRun) !== undefined || head.statusCode === HTTP_MISDIRECTED;
    }

    private restartStallTimer(): void {
        this.stallTimer?.cancel();
        this.stallTimer = setDeadlineTimer(this.clock, STALL_MS, () => {
            this.exchange?.abort();
            this.end({ kind: "broken", code: "UPSTREAM_SILENT", isUnreachable: false, isConnectionBroken: false });
        });
    }

    private end(outcome: ItemRunOutcome): void {
        if (this.isEnded) {
            return;
        }
        this.isEnded = true;
        this.stallTimer?.cancel();
        this.onEnded(outcome);
    }
}

/** Returns the size of an event as JSON, with what separates it from the next. */
function jsonBytesOf(event: string): number {
    return Buffer.byteLength(JSON.stringify(event)) + 1;
}
