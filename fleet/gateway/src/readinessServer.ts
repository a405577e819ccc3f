import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import { createServer, type Server } from "node:http";

/** HTTP server for the load balancer's readiness check: responds with 200 while ready for new connections, else 503. */
export class ReadinessServer {
    private readonly server: Server;

    constructor(opts: { path: string; isReady: () => boolean; }) {
        this.server = createServer((request, response) => {
            const isKnownPath = request.url?.split("?", 1)[0] === opts.path;
            response.writeHead(isKnownPath && opts.isReady() ? 200 : 503, { "content-length": 0 });
            response.end();
        });
    }

    /** Starts to accept connections. Rejects if the address can't be bound. */
    async listen(address: HostPort): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(address.port, address.host, resolve);
        });
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
