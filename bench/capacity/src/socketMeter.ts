import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

const CHANNELS = ["net.client.socket", "net.server.socket"];

/** Counts the bytes that are sent on TCP sockets opened in this process while the meter runs. */
export class SocketMeter {
    private readonly sockets = new Set<Socket>();
    private readonly onSocket = (message: unknown) => {
        this.sockets.add((message as { socket: Socket; }).socket);
    };

    constructor() {
        CHANNELS.forEach(channel => subscribe(channel, this.onSocket));
    }

    /** Returns the bytes sent so far. If both ends are in this process, this is also the number of bytes received. */
    readSentBytes(): number {
        return [...this.sockets].reduce((sum, socket) => sum + socket.bytesWritten, 0);
    }

    /** Stops counting newly opened sockets. */
    stop(): void {
        CHANNELS.forEach(channel => unsubscribe(channel, this.onSocket));
    }
}
