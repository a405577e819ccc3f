import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import type { NetworkDirection } from "./networkDirection.js";

/** Pending deliveries in one direction of a connection. */
interface DirectionQueue {
    /** Time at which the last delivery is due. */
    dueAtMs: number;
    /** Deliveries that are not yet due, in order. */
    deliveries: (() => void)[];
}

interface RelayedConnection {
    client: Socket;
    target: Socket;
    silent: Set<NetworkDirection>;
    /** Whether the target reset its connection. */
    isTargetReset: boolean;
}

/** A TCP relay that can cut its connections, delay them, or silence them in either direction while new ones work. */
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

    /**
     * Starts to listen on a free port.
     *
     * @returns the address of the relay, as `host:port`
     */
    async listen(host = "127.0.0.1"): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, host, resolve));
        return `${host}:${(this.server.address() as AddressInfo).port}`;
    }

    /** Silences new connections in these directions from their start. Without arguments, new connections work. */
    silenceNew(...directions: NetworkDirection[]): void {
        this.newSilentDirections = directions;
    }

    /** Delays the data and connection closes that the relay receives from now on, in both directions. */
    setDelay(delayMs: number): void {
        this.delayMs = delayMs;
    }

    /** Number of connections accepted so far. */
    get connectionCount(): number {
        return this.connections.length;
    }

    /** Permanently silences the existing connections in these directions, which then pass no data and no close. */
    silence(...directions: NetworkDirection[]): void {
        this.connections.forEach(connection => directions.forEach(direction => connection.silent.add(direction)));
    }

    /** Destroys both sockets of each connection. */
    cut(): void {
        this.connections.forEach(({ client, target }) => {
            client.destroy();
            target.destroy();
        });
    }

    /** Resets both sockets of each connection. */
    reset(): void {
        this.connections.forEach(({ client, target }) => {
            resetSocket(client);
            resetSocket(target);
        });
    }

    /** Cuts each connection when it has received more than `bytes` bytes from the target. */
    cutAfter(bytes: number): void {
        this.cutAfterBytes = bytes;
    }

    /** Cuts all connections and stops listening. */
    close(): void {
        this.cut();
        this.server.close();
    }

    private onConnection(client: Socket): void {
        const target = connect({ ...this.target, noDelay: true });
        const silent = new Set<NetworkDirection>(this.newSilentDirections);
        let backwardBytes = 0;
        const connection = { client, target, silent, isTargetReset: false };
        this.connections.push(connection);
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
        target.on("end", () => {
            // A reset that arrives together with the last bytes is reported as an end; the peer is unknown then.
            connection.isTargetReset ||= target.remoteAddress === undefined;
        });
        target.on("close", () => silent.has("backward") || this.deliver(backward, () => closeClient(connection)));
        client.on("error", () => undefined);
        target.on("error", () => {
            connection.isTargetReset = true;
        });
    }

    /** Runs a delivery after the delay. Data and the close of a connection stay in order when the delay changes. */
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

/** Closes the socket of the client in the way in which the target closed its own. */
function closeClient({ client, isTargetReset }: RelayedConnection): void {
    if (isTargetReset) {
        resetSocket(client);
        return;
    }
    client.destroy();
}

/** Resets a socket. One that is being closed in order can't be reset: Node.js would keep it, and the process, forever. */
function resetSocket(socket: Socket): void {
    if (socket.writableEnded) {
        socket.destroy();
        return;
    }
    socket.resetAndDestroy();
}
