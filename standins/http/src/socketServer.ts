import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** A TCP server that ignores failures of its connections, and closes them with itself. */
export class SocketServer {
    connectionCount = 0;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    /** @param opts.onConnection called with each connection, which may be half open */
    constructor(opts: { onConnection: (socket: Socket) => void; allowHalfOpen?: boolean; }) {
        this.server = createServer({ allowHalfOpen: opts.allowHalfOpen === true }, socket => {
            this.connectionCount += 1;
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.sockets.delete(socket));
            opts.onConnection(socket);
        });
    }

    /** Starts to listen on the loopback address. @returns the port */
    async listen(): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return (this.server.address() as AddressInfo).port;
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }
}
