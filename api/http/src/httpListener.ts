import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { readFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer, type Server as TlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { watchFile } from "./watchFile.js";
import { writeError } from "./writeError.js";

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 600_000;
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const CONNECTIONS_CHECK_INTERVAL_MS = 2_000;

interface TlsFiles {
    certificateFile: string;
    keyFile: string;
}

/** Serves HTTP, or HTTPS if a certificate is given. A changed certificate is loaded without a restart. */
export class HttpListener {
    private readonly server: Server | TlsServer;
    private readonly stopWatching: () => void;

    constructor(opts: {
        handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
        tls?: TlsFiles;
    }) {
        const listener = (request: IncomingMessage, response: ServerResponse) => {
            opts.handle(request, response).catch((thrown: unknown) => writeError(response, thrown));
        };
        const timeouts = {
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS,
            noDelay: true,
        };
        if (opts.tls === undefined) {
            this.server = createServer(timeouts, listener);
            this.stopWatching = () => undefined;
            return;
        }
        const tlsServer = createTlsServer({ ...timeouts, ...readCertificate(opts.tls) }, listener);
        this.server = tlsServer;
        this.stopWatching = reloadCertificateOnChange(tlsServer, opts.tls);
    }

    /**
     * Starts to listen. Rejects with `LISTEN_FAILED` if the address can't be bound.
     *
     * @returns the port that is bound, which differs from `port` if that is 0
     */
    async listen(host: string, port: number): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", cause => {
                reject(new KnapweedError("LISTEN_FAILED", `Can't listen on ${host}:${port}`, { cause }));
            });
            this.server.listen(port, host, resolve);
        });
        return (this.server.address() as AddressInfo).port;
    }

    /**
     * Stops accepting connections and waits for requests in progress. Connections that are still open after `graceMs`
     * milliseconds are closed.
     */
    async close(graceMs: number): Promise<void> {
        this.stopWatching();
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        const idleTimer = setInterval(() => this.server.closeIdleConnections(), CONNECTIONS_CHECK_INTERVAL_MS / 20);
        const graceTimer = setTimeout(() => this.server.closeAllConnections(), graceMs);
        await closed;
        clearInterval(idleTimer);
        clearTimeout(graceTimer);
    }
}

function readCertificate(tls: TlsFiles) {
    return { cert: readFileSync(tls.certificateFile), key: readFileSync(tls.keyFile) };
}

function reloadCertificateOnChange(server: TlsServer, tls: TlsFiles): () => void {
    return watchFile(tls.certificateFile, () => {
        try {
            server.setSecureContext(readCertificate(tls));
        }
        catch {
            // The certificate or the key may be only partly written. They are read again at the next change.
        }
    });
}
