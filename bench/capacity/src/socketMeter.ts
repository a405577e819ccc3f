import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

const CHANNELS = ["net.client.socket", "net.server.socket"];

/** Counts the bytes of all TCP sockets opened in this process while the meter runs. */
export class SocketMeter {
    private readonly sockets = new Set<Socket>();
    private readonly onSocket = (message: unknown) => {
        this.sockets.add((message as { socket: Socket; }).socket);
    };

    constructor() {
        CHANNELS.forEach(channel => subscribe(channel, this.onSocket));
    }

    /** Bytes sent so far. Both ends being in this process, they are the bytes received too. */
    readSentBytes(): number {
        return [...this.sockets].reduce((sum, socket) => sum + socket.bytesWritten, 0);
    }

    stop(): void {
        CHANNELS.forEach(channel => unsubscribe(channel, this.onSocket));
    }
}
