import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ConnectionEnding } from "./connectionEnding.js";

const LATE_RESET_MS = 20;

/** A TCP server that answers the first request on each connection with the same bytes, and then ends the connection. */
export class EndingServer {
    connectionCount = 0;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    /** @param opts.sent the bytes of the answer, as text */
    constructor(opts: { sent: string; ending: ConnectionEnding; }) {
        this.server = createServer(socket => {
            this.connectionCount += 1;
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.sockets.delete(socket));
            socket.once("data", () => {
                socket.write(opts.sent, "latin1");
                end(socket, opts.ending);
            });
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

function end(socket: Socket, ending: ConnectionEnding): void {
    switch (ending) {
        case "close":
            socket.end();
            return;
        case "reset":
            socket.resetAndDestroy();
            return;
        case "late-reset":
            setTimeout(() => socket.resetAndDestroy(), LATE_RESET_MS);
            return;
        case "close-and-reset":
            socket.end(() => socket.resetAndDestroy());
            return;
    }
}
