import type { Clock } from "@knapweedwood/core.clock/clock";
import { EventBoundaries } from "@knapweedwood/fleet.upstreams/eventBoundaries";
import { EventSplitter } from "@knapweedwood/fleet.upstreams/eventSplitter";
import { maxEventBytes } from "@knapweedwood/fleet.upstreams/maxEventBytes";
import type { ResponseEnding } from "@knapweedwood/fleet.upstreams/responseEnding";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";
import { StreamLimit } from "@knapweedwood/fleet.upstreams/streamLimit";
import type { ServerResponse } from "node:http";
import { maxBodyBytes } from "./maxBodyBytes.js";
import type { ResponseWriter } from "./responseWriter.js";
import { withoutHeader } from "./withoutHeader.js";

const HTTP_OK = 200;
/** Memory that a part of the response takes while it is unsent, besides its content, in bytes. */
const UNSENT_PART_BYTES = 512;

interface StreamResponseWriterOptions {
    clock: Clock;
    response: ServerResponse;
    isResumable: boolean;
    /** Whether the caller may have all events already. */
    mayBeEmpty: boolean;
    /** Number of tokens that the request allows the response to have; undefined if it names none. */
    maxTokens: number | undefined;
}

/**
 * Forwards a stream as its data arrives. For a resumable stream it forwards only complete events, so that another run
 * can continue after the last event within the same response.
 */
export class StreamResponseWriter implements ResponseWriter {
    hasStarted = false;
    lastEventId: number | undefined;
    progress = 0;
    hasForeignBytes = false;
    private readonly opts: StreamResponseWriterOptions;
    private head: ResponseHead | undefined;
    private isStopping: () => boolean = () => false;
    private splitter = new EventSplitter();
    private boundaries = new EventBoundaries();
    /** Bytes received of the present attempt's body. */
    private bodyBytes = 0;
    private limit: StreamLimit;
    /** Whether the response has more than `limit` allows. */
    private hasTooMuch = false;
    /** Media type of the response that the caller has got a part of. */
    private mediaType: string | undefined;
    /** Parts written since the caller had received all. */
    private unsentParts = 0;

    constructor(opts: StreamResponseWriterOptions) {
        this.opts = opts;
        this.limit = new StreamLimit(opts);
        opts.response.on("drain", () => {
            this.unsentParts = 0;
        });
    }

    get statusCode(): number {
        return this.head?.statusCode ?? 0;
    }

    get unsentBytes(): number {
        const { writableLength } = this.opts.response;
        return writableLength === 0 ? 0 : writableLength + this.unsentParts * UNSENT_PART_BYTES;
    }

    onHead(head: ResponseHead, isStopping: () => boolean): void {
        this.head = head;
        this.isStopping = isStopping;
    }

    continues(head: ResponseHead): boolean {
        return !this.hasStarted || (head.statusCode === HTTP_OK && mediaTypeOf(head) === this.mediaType);
    }

    onData(chunk: Buffer): boolean {
        this.bodyBytes += chunk.length;
        if (this.opts.isResumable && this.statusCode === HTTP_OK) {
            return this.writeEvents(chunk);
        }
        const events = this.boundaries.push(chunk).length;
        this.hasTooMuch ||= !this.limit.allows(events, chunk.length);
        this.progress += this.statusCode === HTTP_OK ? events : chunk.length;
        return this.write(chunk);
    }

    isOverLimit(): boolean {
        return this.hasTooMuch || this.isPartOverLimit();
    }

    isComplete(ending: ResponseEnding): boolean {
        if (this.head === undefined) {
            return false;
        }
        if (this.statusCode !== HTTP_OK) {
            return true;
        }
        if (this.bodyBytes === 0 && ending === "close") {
            // It may have been broken off before its first event.
            return false;
        }
        return !this.hasPartialEvent() && (this.hasStarted || this.opts.mayBeEmpty);
    }

    end(): void {
        this.writeHeadOnce();
        this.opts.response.end();
    }

    restart(): void {
        if (!this.hasStarted) {
            this.head = undefined;
        }
        this.splitter = new EventSplitter();
        this.boundaries = new EventBoundaries();
        this.limit = new StreamLimit(this.opts);
        this.hasTooMuch = false;
        this.hasForeignBytes = false;
        this.bodyBytes = 0;
        this.progress = 0;
    }

    private isPartOverLimit(): boolean {
        return this.statusCode === HTTP_OK
            ? this.splitter.isOverLimit || this.boundaries.partialEventBytes > maxEventBytes
            : this.bodyBytes > maxBodyBytes;
    }

    private hasPartialEvent(): boolean {
        return this.splitter.hasPartialEvent || this.boundaries.isInsideEvent;
    }

    private writeEvents(chunk: Buffer): boolean {
        // A run that ignores the id to resume from would repeat events that the caller has received.
        const complete = this.splitter.push(chunk);
        this.hasTooMuch ||= !this.limit.allows(complete.length, chunk.length);
        this.progress += complete.length;
        const foreignAt = complete.findIndex(event => event.isForeign);
        this.hasForeignBytes ||= foreignAt >= 0;
        const usable = foreignAt < 0 ? complete : complete.slice(0, foreignAt);
        const events = usable.filter(event =>
            event.id === undefined || this.lastEventId === undefined || event.id > this.lastEventId
        );
        this.lastEventId = events.at(-1)?.id ?? this.lastEventId;
        return events.length === 0 || this.write(Buffer.concat(events.map(event => event.bytes)));
    }

    private write(chunk: Buffer): boolean {
        this.writeHeadOnce();
        this.unsentParts = this.opts.response.writableLength === 0 ? 1 : this.unsentParts + 1;
        return this.opts.response.write(chunk);
    }

    /** Sends the head with the first data only, so that a run that fails before can be replaced. */
    private writeHeadOnce(): void {
        if (this.hasStarted) {
            return;
        }
        this.hasStarted = true;
        this.mediaType = mediaTypeOf(this.head!);
        // Another upstream may send events of other sizes.
        const headers = this.opts.isResumable && this.statusCode === HTTP_OK
            ? withoutHeader(this.head!.headers, "content-length")
            : [...this.head!.headers];
        if (this.isStopping()) {
            headers.push("connection", "close");
        }
        this.opts.response.writeHead(this.head!.statusCode, headers);
    }
}

function mediaTypeOf(head: ResponseHead): string | undefined {
    return head.header("content-type")?.split(";", 1)[0]!.trim().toLowerCase();
}
