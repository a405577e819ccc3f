import type { Clock } from "@knapweedwood/core.clock/clock";
import { ConnectionBrokenError } from "@knapweedwood/core.http-connections/connectionBrokenError";
import { createHttpConnector } from "@knapweedwood/core.http-connections/createHttpConnector";
import type { HttpConnection } from "@knapweedwood/core.http-connections/httpConnection";
import { isValidStatusCode } from "@knapweedwood/core.http-connections/isValidStatusCode";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { IncomingHttpHeaders } from "node:http";
import { Client, type Dispatcher } from "undici";
import type { Exchange } from "./exchange.js";
import type { ExchangeFailure } from "./exchangeFailure.js";
import type { ExchangeHandler } from "./exchangeHandler.js";
import type { ExchangeRequest } from "./exchangeRequest.js";
import type { PartBudget } from "./partBudget.js";
import { ReadingGate } from "./readingGate.js";
import type { ResponseEnding } from "./responseEnding.js";
import { responseEndingOf } from "./responseEndingOf.js";
import { ThinPartLimit } from "./thinPartLimit.js";
import { toResponseHead } from "./toResponseHead.js";

/**
 * Limits the wait for an upstream whose accept queue is full: TCP resends the first packet of a connection only after
 * seconds.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection is closed if the upstream sends no keep-alive timeout, in milliseconds. */
const IDLE_TIMEOUT_MS = 4000;
/** Size of the head or the trailers of a response above which the connection is closed, in bytes. */
const MAX_HEAD_BYTES = 16_384;
/**
 * Bytes that may arrive without completing a head and without data, such as chunk extensions and interim responses. The
 * bytes that the socket holds while the HTTP client reads none count too.
 */
const MAX_BYTES_WITHOUT_DATA = 262_144;
/** Number of parts without content that one response may have at once before it is read slowly. */
const BURST_PARTS = 1024;
/** Failure of an exchange whose response is not acceptable. */
const INVALID = { mayHaveRun: true, isUnreachable: false, isConnectionBroken: false };
/** Failure of an exchange whose request the HTTP client refuses to send. */
const UNSENDABLE = { mayHaveRun: false, isUnsendable: true, isUnreachable: false, isConnectionBroken: false } as const;
/** Codes of the HTTP client's errors that are about the request only. */
const REFUSED_REQUEST_CODES = ["UND_ERR_INVALID_ARG", "UND_ERR_NOT_SUPPORTED", "UND_ERR_REQ_CONTENT_LENGTH_MISMATCH"];
const HTTP_BAD_REQUEST = 400;
const REQUEST_ID_HEADER = "x-request-id";
/** Size of a request's body from which an upstream may answer before it has read all of it, in bytes. */
const LONG_BODY_BYTES = 65_536;
/** Number of earlier requests of a connection whose late responses are told apart by their ids. */
const REMEMBERED_REQUESTS = 16;

/** A connection to an upstream that carries one exchange at a time. */
export class UpstreamConnection {
    private readonly client: Client;
    private readonly clock: Clock;
    private readonly partBudget: PartBudget;
    private readonly onIdle: () => void;
    private isOpen = true;
    /** Whether the upstream closed or reset the connection, or the network failed. */
    private isClosedByPeer = false;
    private connection: HttpConnection | undefined;
    /** Bytes that had been received on the connection when the last head or data arrived. */
    private bytesAtLastData = 0;
    /** Ids of the last requests on this connection, shape [requests]. */
    private requestIds: string[] = [];
    /** Whether a response on this connection had an id, so that one without belongs to no request. */
    private echoesIds = false;
    /** Whether the connection had a refusal or failure without an id. A second copy could be taken for a later response. */
    private hadAnonymousFailure = false;
    private failExchange: (failure: ExchangeFailure) => void = () => undefined;

    /**
     * @param opts.partBudget shared by all connections
     * @param opts.onIdle called when an exchange has ended and the connection can carry another
     * @param opts.onClosed called once, when the connection can no longer be used
     */
    constructor(opts: {
        clock: Clock;
        partBudget: PartBudget;
        address: HostPort;
        onIdle: () => void;
        onClosed: () => void;
    }) {
        this.clock = opts.clock;
        this.partBudget = opts.partBudget;
        this.onIdle = opts.onIdle;
        this.client = new Client(`http://${opts.address.host}:${opts.address.port}`, {
            pipelining: 1,
            connect: createHttpConnector({
                timeoutMs: CONNECT_TIMEOUT_MS,
                onConnected: connection => this.onConnected(connection),
            }),
            headersTimeout: 0,
            bodyTimeout: 0,
            maxHeaderSize: MAX_HEAD_BYTES,
            keepAliveTimeout: IDLE_TIMEOUT_MS,
        });
        const close = () => {
            if (this.isOpen) {
                this.isOpen = false;
                opts.onClosed();
                this.destroy();
            }
        };
        this.client.on("disconnect", close);
        this.client.on("connectionError", close);
    }

    /**
     * Sends a request; the handler receives the response. Fails with `mayHaveRun` and the code `RESENT` if the HTTP
     * client sends the request a second time, `ANSWER_OF_ANOTHER_REQUEST` if the response has another request id,
     * `ANSWER_WITH_INVALID_STATUS` if its status is none of HTTP, `ANSWER_WITHOUT_END` if the upstream sends too many bytes
     * that are neither a head nor data. Fails with `isUnsendable` if the HTTP client refuses the request. A response in too many
     * small parts is read slowly, so that it leaves time for others.
     */
    send(request: ExchangeRequest, handler: ExchangeHandler): Exchange {
        const reading = new ReadingGate({ clock: this.clock, budget: this.partBudget });
        let isEnded = false;
        let ending: ResponseEnding = "close";
        const partLimit = new ThinPartLimit({ clock: this.clock, burstParts: BURST_PARTS });
        const fail = (failure: ExchangeFailure) => {
            if (!isEnded) {
                isEnded = true;
                reading.stop();
                this.destroy();
                handler.onFailure(failure);
            }
        };
        // Nothing was sent, so that the connection is as good as before.
        const rejectUnsendable = (error: Error) => {
            if (!isEnded) {
                isEnded = true;
                this.onIdle();
                handler.onFailure({ ...UNSENDABLE, code: codeOf(error), message: error.message });
            }
        };
        this.failExchange = fail;
        this.requestIds = [...this.requestIds, request.requestId].slice(-REMEMBERED_REQUESTS);
        this.recordData();
        const dispatchHandler: Dispatcher.DispatchHandler = {
            onRequestStart: started => {
                if (reading.controller !== undefined) {
                    // The HTTP client is about to send the request again on another connection.
                    fail({ ...INVALID, code: "RESENT" });
                    started.abort(new Error("resent"));
                    return;
                }
                reading.controller = started;
            },
            onResponseStart: (_controller, statusCode, headers) => {
                if (isEnded || statusCode < 200) {
                    return;
                }
                this.recordData();
                if (!isValidStatusCode(statusCode)) {
                    fail({ ...INVALID, code: "ANSWER_WITH_INVALID_STATUS" });
                    return;
                }
                ending = responseEndingOf(request.method, statusCode, headers);
                if (this.connection !== undefined && ending === "close") {
                    // An upstream may close before it has read the whole request.
                    this.connection.mustConfirmEnd = (request.body?.length ?? 0) > LONG_BODY_BYTES;
                }
                if (!this.isResponseTo(request, headers)) {
                    fail({ ...INVALID, code: "ANSWER_OF_ANOTHER_REQUEST" });
                    return;
                }
                this.hadAnonymousFailure ||= statusCode >= HTTP_BAD_REQUEST && headers[REQUEST_ID_HEADER] === undefined;
                handler.onHead(toResponseHead(statusCode, headers));
            },
            onResponseData: (_controller, chunk) => {
                this.recordData();
                // Undici passes an empty chunk on when reading is resumed.
                if (isEnded || chunk.length === 0) {
                    return;
                }
                handler.onData(chunk);
                if (!partLimit.allows(1, chunk.length)) {
                    reading.onTinyPart();
                    handler.onTinyParts?.();
                }
            },
            onResponseEnd: () => {
                if (!isEnded) {
                    isEnded = true;
                    reading.close();
                    this.release();
                    handler.onEnd(ending);
                }
            },
            onResponseError: (_controller, error) => {
                if (reading.controller === undefined && isRefusedByClient(error)) {
                    queueMicrotask(() => rejectUnsendable(error));
                    return;
                }
                const wasSent = reading.controller !== undefined;
                // The HTTP client itself closes a connection on which it receives anything but a valid response.
                const isConnectionBroken = wasSent && this.isClosedByPeer;
                const message = wasSent ? {} : { message: error.message };
                fail({
                    mayHaveRun: wasSent,
                    isUnreachable: !wasSent,
                    isConnectionBroken,
                    code: codeOf(error),
                    ...message,
                });
            },
        };
        this.client.dispatch(
            {
                method: request.method as Dispatcher.HttpMethod,
                path: request.path,
                headers: request.headers,
                body: request.body ?? null,
            },
            dispatchHandler,
        );
        return {
            abort: () => {
                isEnded = true;
                reading.stop();
                this.destroy();
            },
            pause: () => reading.pause(),
            resume: () => reading.resume(),
        };
    }

    /** Returns whether the connection has carried a request with this id, of which a second response may still arrive. */
    hasCarried(requestId: string): boolean {
        return this.requestIds.includes(requestId);
    }

    private isResponseTo(request: ExchangeRequest, headers: IncomingHttpHeaders): boolean {
        const echoed = headers[REQUEST_ID_HEADER];
        const isAcceptable = echoed === request.requestId || (echoed === undefined && !this.echoesIds);
        this.echoesIds ||= echoed !== undefined;
        return isAcceptable;
    }

    /** Lets the connection carry another exchange, unless its responses couldn't be told apart. */
    private release(): void {
        if (this.hadAnonymousFailure) {
            this.destroy();
            return;
        }
        this.onIdle();
    }

    /** Records how a connection ends, before the HTTP client reacts to it. */
    private onConnected(connection: HttpConnection): void {
        this.connection = connection;
        connection.on("readable", () => this.checkBytesWithoutData());
        connection.once("end", () => {
            this.isClosedByPeer = true;
        });
        connection.once("error", error => {
            this.isClosedByPeer ||= error instanceof ConnectionBrokenError && error.isBrokenByPeer;
        });
    }

    private recordData(): void {
        this.bytesAtLastData = this.connection?.bytesReceived ?? 0;
    }

    /** Closes the connection if too many bytes have arrived since the last head or data. */
    private checkBytesWithoutData(): void {
        if ((this.connection?.bytesReceived ?? 0) - this.bytesAtLastData > MAX_BYTES_WITHOUT_DATA) {
            this.failExchange({ ...INVALID, code: "ANSWER_WITHOUT_END" });
            this.destroy();
        }
    }

    /** Closes the connection immediately. */
    destroy(): void {
        void this.client.destroy(new Error("connection closed"));
    }
}

function isRefusedByClient(error: Error): boolean {
    return REFUSED_REQUEST_CODES.includes((error as NodeJS.ErrnoException).code ?? "");
}

function codeOf(error: Error): string {
    return error instanceof ConnectionBrokenError
        ? error.causeCode
        : (error as NodeJS.ErrnoException).code ?? error.message;
}
