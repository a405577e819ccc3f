import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import type { NetworkDirection } from "./networkDirection.js";

interface RelayedConnection {
    near: Socket;
    far: Socket;
    silent: Set<NetworkDirection>;
}

/** A TCP relay that can cut its connections, or let them go silent in either direction while new ones work. */
export class TcpRelay {
    private readonly targetPort: number;
    private readonly server: Server;
    private readonly pairs: RelayedConnection[] = [];
    private cutAfterBytes = Number.POSITIVE_INFINITY;

    constructor(targetPort: number) {
        this.targetPort = targetPort;
        this.server = createServer({ noDelay: true }, near => this.onConnection(near));
    }

    /** @returns the address of the relay, as `host:port` */
    async listen(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
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
        const far = connect({ port: this.targetPort, host: "127.0.0.1", noDelay: true });
        const silent = new Set<NetworkDirection>();
        let carriedBytes = 0;
        this.pairs.push({ near, far, silent });
        near.on("data", data => silent.has("forward") || far.write(data));
        far.on("data", data => {
            carriedBytes += data.length;
            if (carriedBytes > this.cutAfterBytes) {
                near.destroy();
                far.destroy();
            }
            else if (!silent.has("backward")) {
                near.write(data);
            }
        });
        near.on("close", () => silent.has("forward") || far.destroy());
        far.on("close", () => silent.has("backward") || near.destroy());
        near.on("error", () => undefined);
        far.on("error", () => undefined);
    }
}
