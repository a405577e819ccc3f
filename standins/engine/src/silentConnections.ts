import type { Socket } from "node:net";

/** The connections of a server. A silenced connection stays open, but passes no requests and no responses. */
export class SilentConnections {
    private readonly sockets = new Set<Socket>();
    private readonly silent = new WeakSet<Socket>();

    /** Tracks a connection until it closes, and ignores its errors. */
    add(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("error", () => undefined);
    }

    isSilent(socket: Socket): boolean {
        return this.silent.has(socket);
    }

    /** Permanently silences the connections that are open now. New connections work. */
    silenceOpen(): void {
        this.sockets.forEach(socket => {
            this.silent.add(socket);
            socket.write = () => true;
        });
    }

    destroyAll(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}
