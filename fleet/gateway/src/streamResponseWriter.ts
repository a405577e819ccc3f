import { EventBoundaries } from "@knapweedwood/fleet.upstreams/eventBoundaries";
import { EventSplitter } from "@knapweedwood/fleet.upstreams/eventSplitter";
import { maxEventBytes } from "@knapweedwood/fleet.upstreams/maxEventBytes";
import type { ResponseEnding } from "@knapweedwood/fleet.upstreams/responseEnding";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";
import type { ServerResponse } from "node:http";
import { maxBodyBytes } from "./maxBodyBytes.js";
import type { ResponseWriter } from "./responseWriter.js";
import { withoutHeader } from "./withoutHeader.js";

const HTTP_OK = 200;

/**
 * Forwards a stream as its data arrives. For a resumable stream it forwards only complete events, so that another run
 * can continue after the last event within the same response.
 */
export class StreamResponseWriter implements ResponseWriter {
    hasStarted = false;
    lastEventId: number | undefined;
    progress = 0;
    private readonly response: ServerResponse;
    private readonly isResumable: boolean;
    private readonly mayBeEmpty: boolean;
    private head: ResponseHead | undefined;
    private isStopping: () => boolean = () => false;
    private splitter = new EventSplitter();
    private boundaries = new EventBoundaries();
    /** Bytes received of the present attempt's body. */
    private bodyBytes = 0;

    /** @param opts.mayBeEmpty whether the caller may have all events already */
    constructor(opts: { response: ServerResponse; isResumable: boolean; mayBeEmpty: boolean; }) {
        this.response = opts.response;
        this.mayBeEmpty = opts.mayBeEmpty;
        this.isResumable = opts.isResumable;
    }

    get statusCode(): number {
        return this.head?.statusCode ?? 0;
    }

    get unsentBytes(): number {
        return this.response.writableLength;
    }

    onHead(head: ResponseHead, isStopping: () => boolean): void {
        this.head = head;
        this.isStopping = isStopping;
    }

    onData(chunk: Buffer): boolean {
        this.bodyBytes += chunk.length;
        if (this.isResumable && this.statusCode === HTTP_OK) {
            return this.writeEvents(chunk);
        }
        const events = this.boundaries.push(chunk).length;
        this.progress += this.statusCode === HTTP_OK ? events : chunk.length;
        return this.write(chunk);
    }

    isOverLimit(): boolean {
        return this.statusCode === HTTP_OK
            ? this.splitter.isOverLimit || this.boundaries.partialEventBytes > maxEventBytes
            : this.bodyBytes > maxBodyBytes;
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
        return !this.hasPartialEvent() && (this.hasStarted || this.mayBeEmpty);
    }

    end(): void {
        this.writeHeadOnce();
        this.response.end();
    }

    restart(): void {
        if (!this.hasStarted) {
            this.head = undefined;
        }
        this.splitter = new EventSplitter();
        this.boundaries = new EventBoundaries();
        this.bodyBytes = 0;
        this.progress = 0;
    }

    private hasPartialEvent(): boolean {
        return this.splitter.hasPartialEvent || this.boundaries.isInsideEvent;
    }

    private writeEvents(chunk: Buffer): boolean {
        // A run that ignores the id to resume from would repeat events that the caller has received.
        const complete = this.splitter.push(chunk);
        this.progress += complete.length;
        const events = complete.filter(event =>
            event.id === undefined || this.lastEventId === undefined || event.id > this.lastEventId
        );
        this.lastEventId = events.at(-1)?.id ?? this.lastEventId;
        return events.length === 0 || this.write(Buffer.concat(events.map(event => event.bytes)));
    }

    private write(chunk: Buffer): boolean {
        this.writeHeadOnce();
        return this.response.write(chunk);
    }

    /** Sends the head with the first data only, so that a run that fails before can be replaced. */
    private writeHeadOnce(): void {
        if (this.hasStarted) {
            return;
        }
        this.hasStarted = true;
        // Another upstream may send events of other sizes.
        const headers = this.isResumable && this.statusCode === HTTP_OK
            ? withoutHeader(this.head!.headers, "content-length")
            : [...this.head!.headers];
        if (this.isStopping()) {
            headers.push("connection", "close");
        }
        this.response.writeHead(this.head!.statusCode, headers);
    }
}
