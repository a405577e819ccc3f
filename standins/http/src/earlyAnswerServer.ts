import type { Socket } from "node:net";
import { SocketServer } from "./socketServer.js";
import type { UploadEnding } from "./uploadEnding.js";

const HEAD_END = "\r\n\r\n";

/** How a server answers before it has read a request. */
interface EarlyAnswer {
    /** The bytes of the answer, as text. */
    sent: string;
    ending: UploadEnding;
    /** Time from the answer, or its end, to what follows, in milliseconds. */
    delayMs: number;
}

/**
 * A TCP server that answers the first request on each connection when it has read its head, with the same bytes, while its body is
 * still being sent, and then ends the connection.
 */
export class EarlyAnswerServer extends SocketServer {
    constructor(opts: EarlyAnswer) {
        super({ allowHalfOpen: true, onConnection: socket => afterHead(socket, () => answer(socket, opts)) });
    }
}

/** Calls `onHead` once the head of a request has been read, and reads nothing more. */
function afterHead(socket: Socket, onHead: () => void): void {
    let head = "";
    const onData = (chunk: Buffer) => {
        head += chunk.toString("latin1");
        if (head.includes(HEAD_END)) {
            socket.off("data", onData);
            socket.pause();
            onHead();
        }
    };
    socket.on("data", onData);
}

function answer(socket: Socket, { sent, ending, delayMs }: EarlyAnswer): void {
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
