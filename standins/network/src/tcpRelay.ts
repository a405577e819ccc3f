import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import type { NetworkDirection } from "./networkDirection.js";

/** One direction of a connection. */
interface Flow {
    /** When what was carried last arrives. */
    dueAtMs: number;
    /** What is on its way, in order. */
    queue: (() => void)[];
}

interface RelayedConnection {
    near: Socket;
    far: Socket;
    silent: Set<NetworkDirection>;
}

/** A TCP relay that can cut its connections, or let them go silent in either direction while new ones work. */
export class TcpRelay {
    private readonly target: { host: string; port: number; };
    private readonly server: Server;
    private readonly pairs: RelayedConnection[] = [];
    private cutAfterBytes = Number.POSITIVE_INFINITY;
    private silentFromStart: NetworkDirection[] = [];
    private delayMs = 0;

    constructor(target: { host: string; port: number; }) {
        this.target = target;
        this.server = createServer({ noDelay: true }, near => this.onConnection(near));
    }

    /** @returns the address of the relay, as `host:port` */
    async listen(host = "127.0.0.1"): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, host, resolve));
        return `${host}:${(this.server.address() as AddressInfo).port}`;
    }

    /** From now on new connections go silent at once, too. */
    silenceNew(...directions: NetworkDirection[]): void {
        this.silentFromStart = directions;
    }

    /** What is carried from now on arrives so much later. */
    delay(delayMs: number): void {
        this.delayMs = delayMs;
    }

    /** Connections accepted so far. */
    get connectionCount(): number {
        return this.pairs.length;
    }

    /** Lets the connections of now go silent for good: nothing passes any more, not even their end. */
    silence(...directions: NetworkDirection[]): void {
        this.pairs.forEach(pair => directions.forEach(direction => pair.silent.add(direction)));
    }

    cut(): void {
        this.pairs.forEach(({ near, far }) => {
            near.destroy();
            far.destroy();
        });
    }

    /** Cuts each connection once it has carried `bytes` bytes backward. */
    cutEach(bytes: number): void {
        this.cutAfterBytes = bytes;
    }

    close(): void {
        this.cut();
        this.server.close();
    }

    private onConnection(near: Socket): void {
        const far = connect({ ...this.target, noDelay: true });
        const silent = new Set<NetworkDirection>(this.silentFromStart);
        let carriedBytes = 0;
        this.pairs.push({ near, far, silent });
        const forward: Flow = { dueAtMs: 0, queue: [] };
        const backward: Flow = { dueAtMs: 0, queue: [] };
        near.on("data", data => silent.has("forward") || this.carry(forward, () => far.writable && far.write(data)));
        far.on("data", data => {
            carriedBytes += data.length;
            if (carriedBytes > this.cutAfterBytes) {
                near.destroy();
                far.destroy();
            }
            else if (!silent.has("backward")) {
                this.carry(backward, () => near.writable && near.write(data));
            }
        });
        near.on("close", () => silent.has("forward") || this.carry(forward, () => far.destroy()));
        far.on("close", () => silent.has("backward") || this.carry(backward, () => near.destroy()));
        near.on("error", () => undefined);
        far.on("error", () => undefined);
    }

    /** Bytes and the end of a connection stay in order, also while the delay changes. */
    private carry(flow: Flow, act: () => void): void {
        const nowMs = Date.now();
        flow.dueAtMs = Math.max(flow.dueAtMs, nowMs + this.delayMs);
        if (flow.dueAtMs <= nowMs && flow.queue.length === 0) {
            act();
            return;
        }
        flow.queue.push(act);
        setTimeout(() => flow.queue.shift()?.(), flow.dueAtMs - nowMs);
    }
}
