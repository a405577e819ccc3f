import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import {
    createServer,
    type IncomingHttpHeaders,
    type IncomingMessage,
    type Server,
    type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** An upstream that responds as a test specifies and records the requests that it receives. */
export class UpstreamStandin {
    readonly requests: { method: string; url: string; headers: IncomingHttpHeaders; body: string; }[] = [];
    connectionCount = 0;
    /** Number of responses whose connection was closed before they were finished. */
    closedEarlyCount = 0;
    private readonly server: Server;

    constructor(respond: (request: IncomingMessage, response: ServerResponse) => void) {
        this.server = createServer((request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.on("end", () => {
                const body = Buffer.concat(chunks).toString("utf8");
                const { method = "", url = "", headers } = request;
                this.requests.push({ method, url, headers, body });
                response.setHeader("x-request-id", String(headers["x-request-id"]));
                respond(request, response);
            });
            response.on("close", () => {
                this.closedEarlyCount += response.writableFinished ? 0 : 1;
            });
        });
        this.server.on("connection", () => {
            this.connectionCount += 1;
        });
    }

    async listen(id: string, softwareVersion = "v1"): Promise<Upstream> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return {
            id: id as UpstreamId,
            service: "s" as ServiceName,
            address: { host: "127.0.0.1", port: (this.server.address() as AddressInfo).port },
            zone: "z" as ZoneName,
            softwareVersion: softwareVersion as SoftwareVersion,
            slots: 4,
            state: "ready",
            startedAtMs: 1,
        };
    }

    get isListening(): boolean {
        return this.server.listening;
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
