import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { IncomingHttpHeaders } from "node:http";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { Exchange } from "./exchange.js";
import type { ExchangeFailure } from "./exchangeFailure.js";
import type { ExchangeHandler } from "./exchangeHandler.js";
import type { ExchangeRequest } from "./exchangeRequest.js";
import { toResponseHead } from "./toResponseHead.js";

/**
 * Limits the wait for an upstream whose accept queue is full: TCP resends the first packet of a connection only after
 * seconds.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection is closed if the upstream sends no keep-alive timeout, in milliseconds. */
const IDLE_TIMEOUT_MS = 4000;
/** Failure of an exchange whose response is not acceptable. */
const INVALID = { mayHaveRun: true, isUnreachable: false, isConnectionBroken: false };
const REQUEST_ID_HEADER = "x-request-id";

/** A connection to an upstream that carries one exchange at a time. */
export class UpstreamConnection {
    private readonly client: Client;
    private readonly onIdle: () => void;
    private isOpen = true;
    /** Code of the error that broke the connection; undefined while there is none. */
    private socketErrorCode: string | undefined;
    /** Whether the upstream closed or reset the connection, or the network failed. */
    private isClosedByPeer = false;

    /**
     * @param opts.onIdle called when an exchange has ended and the connection can carry another
     * @param opts.onClosed called once, when the connection can no longer be used
     */
    constructor(opts: { address: HostPort; onIdle: () => void; onClosed: () => void; }) {
        this.onIdle = opts.onIdle;
        this.client = new Client(`http://${opts.address.host}:${opts.address.port}`, {
            pipelining: 1,
            connect: this.createConnector(),
            headersTimeout: 0,
            bodyTimeout: 0,
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
     * client sends the request a second time, `ANSWER_OF_ANOTHER_REQUEST` if the response has another request id.
     */
    send(request: ExchangeRequest, handler: ExchangeHandler): Exchange {
        let controller: Dispatcher.DispatchController | undefined;
        let isEnded = false;
        const fail = (failure: ExchangeFailure) => {
            if (!isEnded) {
                isEnded = true;
                this.destroy();
                handler.onFailure(failure);
            }
        };
        const dispatchHandler: Dispatcher.DispatchHandler = {
            onRequestStart: started => {
                if (controller !== undefined) {
                    // The HTTP client is about to send the request again on another connection.
                    fail({ ...INVALID, code: "RESENT" });
                    started.abort(new Error("resent"));
                    return;
                }
                controller = started;
            },
            onResponseStart: (_controller, statusCode, headers) => {
                if (isEnded || statusCode < 200) {
                    return;
                }
                if (!isResponseTo(request, headers)) {
                    fail({ ...INVALID, code: "ANSWER_OF_ANOTHER_REQUEST" });
                    return;
                }
                handler.onHead(toResponseHead(statusCode, headers));
            },
            onResponseData: (_controller, chunk) => {
                if (!isEnded) {
                    handler.onData(chunk);
                }
            },
            onResponseEnd: () => {
                if (this.socketErrorCode !== undefined) {
                    // The HTTP client takes a reset for the end of a response without a length.
                    fail({ ...INVALID, isConnectionBroken: true, code: this.socketErrorCode });
                    return;
                }
                if (!isEnded) {
                    isEnded = true;
                    this.onIdle();
                    handler.onEnd();
                }
            },
            onResponseError: (_controller, error) => {
                const wasSent = controller !== undefined;
                const code = (error as { code?: string; }).code ?? error.message;
                // The HTTP client itself closes a connection on which it receives anything but a valid response.
                const isConnectionBroken = wasSent && this.isClosedByPeer;
                fail({ mayHaveRun: wasSent, isUnreachable: !wasSent, isConnectionBroken, code });
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
                this.destroy();
            },
            pause: () => controller?.pause(),
            resume: () => controller?.resume(),
        };
    }

    /** Returns a connector that records how a connection breaks, before the HTTP client reacts to it. */
    private createConnector(): buildConnector.connector {
        const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
        return (opts, callback) =>
            connect(opts, (...[error, socket]) => {
                socket?.once("end", () => {
                    this.isClosedByPeer = true;
                });
                socket?.once("error", (broken: NodeJS.ErrnoException) => {
                    this.socketErrorCode = broken.code ?? broken.message;
                    this.isClosedByPeer ||= broken.syscall !== undefined;
                });
                callback(...[error, socket] as Parameters<buildConnector.Callback>);
            });
    }

    /** Closes the connection immediately. */
    destroy(): void {
        void this.client.destroy(new Error("connection closed"));
    }
}

function isResponseTo(request: ExchangeRequest, headers: IncomingHttpHeaders): boolean {
    const echoed = headers[REQUEST_ID_HEADER];
    return echoed === undefined || echoed === request.requestId;
}
