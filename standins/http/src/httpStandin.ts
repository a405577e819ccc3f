import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { HttpHandler } from "./httpHandler.js";
import { sendJson } from "./sendJson.js";

/** An HTTP server that can silence its open connections: they stay open, but pass no requests and no responses. */
export class HttpStandin {
    private readonly server: Server;
    private readonly handler: HttpHandler;
    private readonly openSockets = new Set<Socket>();
    private readonly silentSockets = new WeakSet<Socket>();

    constructor(opts: { handler: HttpHandler; }) {
        this.handler = opts.handler;
        this.server = createServer((request, response) => this.handleRequest(request, response));
        this.server.keepAliveTimeout = 0;
        this.server.on("connection", socket => this.track(socket));
    }

    /**
     * Starts to listen. Rejects if the address can't be bound.
     *
     * @returns the port
     */
    listen(opts: { host: string; port: number; }): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(opts.port, opts.host, () => {
                this.server.off("error", reject);
                resolve((this.server.address() as AddressInfo).port);
            });
        });
    }

    /** Stops the server and closes its connections. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    /** Permanently silences the connections that are open now. New connections work. */
    silenceOpenConnections(): void {
        this.openSockets.forEach(socket => this.silence(socket));
    }

    private track(socket: Socket): void {
        this.openSockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("end", () => socket.destroy());
        socket.once("close", () => this.openSockets.delete(socket));
    }

    private silence(socket: Socket): void {
        this.silentSockets.add(socket);
        socket.write = () => true;
        socket.end = () => socket;
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        if (this.silentSockets.has(request.socket)) {
            return;
        }
        const url = new URL(request.url ?? "/", "http://standin");
        this.handler(request, response, url).catch((error: unknown) => {
            if (response.headersSent) {
                response.destroy();
                return;
            }
            sendJson(response, 500, { error: String(error) });
        });
    }
}
