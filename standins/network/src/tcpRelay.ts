import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import type { NetworkDirection } from "./networkDirection.js";

/** One direction of a connection. */
interface DirectionQueue {
    /** When what was carried last arrives. */
    dueAtMs: number;
    /** What is on its way, in order. */
    deliveries: (() => void)[];
}

interface RelayedConnection {
    client: Socket;
    target: Socket;
    silent: Set<NetworkDirection>;
}

/** A TCP relay that can cut its connections, or let them go silent in either direction while new ones work. */
export class TcpRelay {
    private readonly target: { host: string; port: number; };
    private readonly server: Server;
    private readonly connections: RelayedConnection[] = [];
    private cutAfterBytes = Number.POSITIVE_INFINITY;
    private newSilentDirections: NetworkDirection[] = [];
    private delayMs = 0;

    constructor(target: { host: string; port: number; }) {
        this.target = target;
        this.server = createServer({ noDelay: true }, client => this.onConnection(client));
    }

    /** @returns the address of the relay, as `host:port` */
    async listen(host = "127.0.0.1"): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, host, resolve));
        return `${host}:${(this.server.address() as AddressInfo).port}`;
    }

    /** From now on new connections go silent at once, too. */
    silenceNew(...directions: NetworkDirection[]): void {
        this.newSilentDirections = directions;
    }

    /** What is carried from now on arrives so much later. */
    setDelay(delayMs: number): void {
        this.delayMs = delayMs;
    }

    /** Connections accepted so far. */
    get connectionCount(): number {
        return this.connections.length;
    }

    /** Lets the connections of now go silent for good: nothing passes any more, not even their end. */
    silence(...directions: NetworkDirection[]): void {
        this.connections.forEach(connection => directions.forEach(direction => connection.silent.add(direction)));
    }

    cut(): void {
        this.connections.forEach(({ client, target }) => {
            client.destroy();
            target.destroy();
        });
    }

    /** Cuts each connection once it has carried `bytes` bytes backward. */
    cutAfter(bytes: number): void {
        this.cutAfterBytes = bytes;
    }

    close(): void {
        this.cut();
        this.server.close();
    }

    private onConnection(client: Socket): void {
        const target = connect({ ...this.target, noDelay: true });
        const silent = new Set<NetworkDirection>(this.newSilentDirections);
        let backwardBytes = 0;
        this.connections.push({ client, target, silent });
        const forward: DirectionQueue = { dueAtMs: 0, deliveries: [] };
        const backward: DirectionQueue = { dueAtMs: 0, deliveries: [] };
        client.on(
            "data",
            data => silent.has("forward") || this.deliver(forward, () => target.writable && target.write(data)),
        );
        target.on("data", data => {
            backwardBytes += data.length;
            if (backwardBytes > this.cutAfterBytes) {
                client.destroy();
                target.destroy();
            }
            else if (!silent.has("backward")) {
                this.deliver(backward, () => client.writable && client.write(data));
            }
        });
        client.on("close", () => silent.has("forward") || this.deliver(forward, () => target.destroy()));
        target.on("close", () => silent.has("backward") || this.deliver(backward, () => client.destroy()));
        client.on("error", () => undefined);
        target.on("error", () => undefined);
    }

    /** Bytes and the end of a connection stay in order, also while the delay changes. */
    private deliver(queue: DirectionQueue, delivery: () => void): void {
        const nowMs = Date.now();
        queue.dueAtMs = Math.max(queue.dueAtMs, nowMs + this.delayMs);
        if (queue.dueAtMs <= nowMs && queue.deliveries.length === 0) {
            delivery();
            return;
        }
        queue.deliveries.push(delivery);
        setTimeout(() => queue.deliveries.shift()?.(), queue.dueAtMs - nowMs);
    }
}
