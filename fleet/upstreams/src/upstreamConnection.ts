import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { IncomingHttpHeaders } from "node:http";
import { Client, type Dispatcher } from "undici";
import type { Exchange } from "./exchange.js";
import type { ExchangeFailure } from "./exchangeFailure.js";
import type { ExchangeHandler } from "./exchangeHandler.js";
import type { ExchangeRequest } from "./exchangeRequest.js";
import { toResponseHead } from "./toResponseHead.js";

/** The opening packet of a connection to a full queue is sent again only after seconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection is closed where the upstream names none, in milliseconds. */
const IDLE_TIMEOUT_MS = 4000;
const REQUEST_ID_HEADER = "x-request-id";

/** One connection to an upstream, for one exchange at a time. */
export class UpstreamConnection {
    private readonly client: Client;
    private readonly onIdle: () => void;
    private isOpen = true;

    /**
     * @param opts.onIdle called when an exchange has ended and the connection may carry another
     * @param opts.onClosed called once, when the connection can't be used any more
     */
    constructor(opts: { address: HostPort; onIdle: () => void; onClosed: () => void; }) {
        this.onIdle = opts.onIdle;
        this.client = new Client(`http://${opts.address.host}:${opts.address.port}`, {
            pipelining: 1,
            connect: { timeout: CONNECT_TIMEOUT_MS },
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
                    // The library would send the request again on another connection.
                    fail({ mayHaveRun: true, isUnreachable: false, code: "RESENT" });
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
                    fail({ mayHaveRun: true, isUnreachable: false, code: "ANSWER_OF_ANOTHER_REQUEST" });
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
                if (!isEnded) {
                    isEnded = true;
                    this.onIdle();
                    handler.onEnd();
                }
            },
            onResponseError: (_controller, error) => {
                const wasSent = controller !== undefined;
                const code = (error as { code?: string; }).code ?? error.message;
                fail({ mayHaveRun: wasSent, isUnreachable: !wasSent, code });
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

    /** Closes the connection at once. */
    destroy(): void {
        void this.client.destroy(new Error("connection closed"));
    }
}

function isResponseTo(request: ExchangeRequest, headers: IncomingHttpHeaders): boolean {
    const echoed = headers[REQUEST_ID_HEADER];
    return echoed === undefined || echoed === request.requestId;
}
