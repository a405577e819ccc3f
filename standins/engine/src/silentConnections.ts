import type { Socket } from "node:net";

/** The connections of a server, some of which have gone silent: they stay open, and nothing passes any more. */
export class SilentConnections {
    private readonly sockets = new Set<Socket>();
    private readonly silent = new WeakSet<Socket>();

    add(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("error", () => undefined);
    }

    isSilent(socket: Socket): boolean {
        return this.silent.has(socket);
    }

    /** Silences the connections that are open now. New ones work. */
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
