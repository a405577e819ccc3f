import type { Socket } from "node:net";
import type { ConnectionEnding } from "./connectionEnding.js";
import { SocketServer } from "./socketServer.js";

const LATE_RESET_MS = 20;

/** A TCP server that answers the first request on each connection with the same bytes, and then ends the connection. */
export class EndingServer extends SocketServer {
    /** @param opts.sent the bytes of the answer, as text */
    constructor(opts: { sent: string; ending: ConnectionEnding; }) {
        super({
            onConnection: socket =>
                socket.once("data", () => {
                    socket.write(opts.sent, "latin1");
                    end(socket, opts.ending);
                }),
        });
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
