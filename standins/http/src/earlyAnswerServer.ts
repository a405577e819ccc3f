import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { UploadEnding } from "./uploadEnding.js";

const HEAD_END = "\r\n\r\n";

/**
 * A TCP server that answers the first request on each connection when it has read its head, with the same bytes, while its body is
 * still being sent, and then ends the connection.
 */
export class EarlyAnswerServer {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly opts: { sent: string; ending: UploadEnding; delayMs: number; };

    /**
     * @param opts.sent the bytes of the answer, as text
     * @param opts.delayMs time from the answer, or its end, to what follows
     */
    constructor(opts: { sent: string; ending: UploadEnding; delayMs: number; }) {
        this.opts = opts;
        this.server = createServer({ allowHalfOpen: true, highWaterMark: 1024 }, socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.sockets.delete(socket));
            let head = "";
            const onData = (chunk: Buffer) => {
                head += chunk.toString("latin1");
                if (head.includes(HEAD_END)) {
                    socket.off("data", onData);
                    socket.pause();
                    this.answer(socket);
                }
            };
            socket.on("data", onData);
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

    private answer(socket: Socket): void {
        const { sent, ending, delayMs } = this.opts;
        const later = (action: () => void) => setTimeout(action, delayMs).unref();
        socket.write(sent, "latin1");
        switch (ending) {
            case "reset":
                later(() => socket.resetAndDestroy());
                return;
            case "unread":
                later(() => socket.destroy());
                return;
            case "end-then-unread":
                socket.end();
                later(() => socket.destroy());
                return;
            case "end-then-read":
                socket.end();
                later(() => socket.resume());
                socket.on("end", () => socket.destroy());
                return;
        }
    }
}
