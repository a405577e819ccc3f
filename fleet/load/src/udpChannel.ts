import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { createSocket, type Socket } from "node:dgram";
import type { DatagramChannel } from "./datagramChannel.js";

/** Datagrams over UDP. */
export class UdpChannel implements DatagramChannel {
    private readonly opts: { host: string; port: number; logger: Logger; };
    private socket: Socket | undefined;

    constructor(opts: { host: string; port: number; logger: Logger; }) {
        this.opts = opts;
    }

    async open(onMessage: (bytes: Buffer) => void): Promise<void> {
        const { host, port, logger } = this.opts;
        const socket = createSocket("udp4");
        this.socket = socket;
        socket.on("message", onMessage);
        await new Promise<void>((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(port, host, resolve);
        });
        socket.removeAllListeners("error");
        socket.on("error", error => logger.warn("load-socket-failed", { message: error.message }));
    }

    send(bytes: Buffer, target: HostPort): void {
        this.socket?.send(bytes, target.port, target.host, error => {
            if (error !== null) {
                this.opts.logger.debug("load-report-unsent", { peer: target.host, message: error.message });
            }
        });
    }

    close(): void {
        this.socket?.close();
        this.socket = undefined;
    }
}
