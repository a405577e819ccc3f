import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Bytes after which a connection that its client keeps open is given up. */
const MAX_SENT_BYTES = 64_000_000;

/** A TCP server that answers each request with bytes without end, until the client closes the connection. */
export class EndlessServer {
    connectionCount = 0;
    /** Number of connections that have ended. */
    endedCount = 0;
    /** Number of connections that the client still read after 64 MB. */
    unboundedCount = 0;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    /**
     * @param opts.first sent once for each request
     * @param opts.repeated sent again and again after it
     */
    constructor(opts: { first: string; repeated: string; }) {
        const repeated = Buffer.from(opts.repeated, "latin1");
        this.server = createServer(socket => {
            this.connectionCount += 1;
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => {
                this.endedCount += 1;
                this.sockets.delete(socket);
            });
            socket.once("data", () => {
                socket.write(opts.first, "latin1");
                this.writeOn(socket, repeated);
            });
        });
    }

    /** Starts to listen on the loopback address. @returns the port */
    async listen(): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return (this.server.address() as AddressInfo).port;
    }

    /** Resolves when all connections have ended. */
    async whenEnded(): Promise<void> {
        while (this.sockets.size > 0) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private writeOn(socket: Socket, repeated: Buffer): void {
        while (!socket.destroyed && socket.bytesWritten < MAX_SENT_BYTES) {
            if (!socket.write(repeated)) {
                socket.once("drain", () => this.writeOn(socket, repeated));
                return;
            }
        }
        if (!socket.destroyed) {
            this.unboundedCount += 1;
            socket.destroy();
        }
    }
}
