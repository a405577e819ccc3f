import { wireHeaders } from "@knapweedwood/platform.adapter/wireHeaders";
import { Agent, type IncomingMessage, request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import type { SoakGateway } from "./soakGateway.js";
import { CALLERS_HOST } from "./soakNames.js";

interface ConnectionResponse {
    statusCode: number;
    isComplete: boolean;
    body: string;
    hasProof: boolean;
}

/** A keep-alive connection of a caller to one gateway, usable until the gateway closes it. */
export class CallerConnection {
    readonly gateway: SoakGateway;
    isClosed = false;
    private socket: Socket | undefined;
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

    constructor(gateway: SoakGateway) {
        this.gateway = gateway;
    }

    /**
     * Sends a request and resolves when its response has ended, in full or cut off. Never rejects: without a response,
     * the status code is 0.
     */
    send(opts: {
        method: string;
        path: string;
        id: string;
        body: string;
        timeoutMs: number;
        headers?: { [name: string]: string; };
        /** Time between two reads of the response, Infinity to read nothing; 0 reads at once. */
        readIntervalMs?: number;
    }): Promise<ConnectionResponse> {
        return new Promise(resolve => {
            const request = sendRequest({
                agent: this.agent,
                host: this.gateway.host,
                port: this.gateway.callersPort,
                method: opts.method,
                path: opts.path,
                headers: {
                    "host": CALLERS_HOST,
                    "content-length": Buffer.byteLength(opts.body),
                    [wireHeaders.requestId]: opts.id,
                    [wireHeaders.remainingMs]: String(opts.timeoutMs),
                    ...opts.headers,
                },
            });
            const timer = setTimeout(() => request.destroy(), opts.timeoutMs);
            const finish = (result: ConnectionResponse) => {
                clearTimeout(timer);
                resolve(result);
            };
            request.on("socket", socket => this.watchSocket(socket));
            request.on("error", () => finish({ statusCode: 0, isComplete: false, body: "", hasProof: false }));
            request.on("response", response => this.readResponse(response, opts.readIntervalMs ?? 0, finish));
            request.end(opts.body);
        });
    }

    close(): void {
        this.isClosed = true;
        this.agent.destroy();
    }

    private watchSocket(socket: Socket): void {
        if (this.socket !== socket) {
            this.socket = socket;
            socket.once("close", () => this.close());
        }
    }

    private readResponse(
        response: IncomingMessage,
        readIntervalMs: number,
        finish: (result: ConnectionResponse) => void,
    ): void {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
            if (readIntervalMs > 0 && readIntervalMs < Infinity) {
                response.pause();
                setTimeout(() => response.resume(), readIntervalMs);
            }
        });
        if (readIntervalMs === Infinity) {
            response.pause();
        }
        response.on("error", () => undefined);
        response.on("close", () => {
            finish({
                statusCode: response.statusCode ?? 0,
                isComplete: response.complete,
                body: Buffer.concat(chunks).toString("utf8"),
                hasProof: response.headers[wireHeaders.upstreamProof] !== undefined,
            });
        });
    }
}
