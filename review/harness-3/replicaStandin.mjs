// A stand-in for a replica, as PROTOCOL.md describes it. It records each request that it runs.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const HEARTBEAT_MS = 1200;

export class ReplicaStandin {
    /**
     * @param opts.eventCount number of events of a stream
     * @param opts.eventGapMs time between two events
     * @param opts.handle called with each request; returns true if it answers it itself
     */
    constructor(opts) {
        this.opts = {
            slots: 8,
            zone: "z-a",
            version: "v1",
            eventCount: 5,
            eventGapMs: 20,
            workMs: 20,
            textOf: eventText,
            adapters: [],
            ...opts,
        };
        this.id = opts.id;
        this.runs = [];
        this.arrivals = [];
        this.rejections = 0;
        this.sequence = 0;
        this.running = 0;
        this.state = "ready";
        this.born = Date.now();
        this.isLeaving = false;
        this.connections = 0;
    }

    async start() {
        const server = createServer((request, response) => void this.serve(request, response));
        server.keepAliveTimeout = 60_000;
        server.on("connection", () => {
            this.connections += 1;
        });
        await new Promise(resolve => server.listen(this.opts.port ?? 0, this.opts.host, resolve));
        this.server = server;
        this.address = `${this.opts.host}:${server.address().port}`;
        this.register();
        this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
    }

    register() {
        this.sequence += 1;
        const { service, zone, version, slots } = this.opts;
        this.opts.store.put(`servers/${this.id}`, {
            service,
            address: this.address,
            zone,
            version,
            slots,
            state: this.state,
            warmupLeftMs: 0,
            stage: "both",
            models: [{ name: "m", version: 1, adapters: this.opts.adapters }],
            sequence: this.sequence,
            born: this.born,
        });
    }

    unregister() {
        clearInterval(this.timer);
        this.opts.store.remove(`servers/${this.id}`);
    }

    close() {
        clearInterval(this.timer);
        this.server?.closeAllConnections();
        this.server?.close();
    }

    async serve(request, response) {
        response.on("error", () => undefined);
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const id = request.headers["x-request-id"];
        const arrival = { id, atMs: Date.now(), path: request.url, method: request.method, headers: request.headers };
        if (id !== undefined) {
            response.setHeader("x-request-id", id);
        }
        const expected = request.headers["x-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "x-instance-id": this.id, "content-length": 0 }).end();
            return;
        }
        this.arrivals.push(arrival);
        const body = Buffer.concat(chunks);
        if (await this.opts.handle?.({ request, response, body, replica: this, arrival }) === true) {
            return;
        }
        if (this.running >= this.opts.slots) {
            this.rejections += 1;
            response.writeHead(503, { "x-not-run": "1", "content-length": 0 }).end();
            return;
        }
        await this.run(request, response, arrival);
    }

    async run(request, response, { id }) {
        const run = { id, replica: this.id, atMs: Date.now(), after: Number(request.headers["last-event-id"] ?? 0) };
        this.runs.push(run);
        this.running += 1;
        response.once("close", () => {
            run.endedAtMs = Date.now();
            run.isComplete = response.writableFinished;
            this.running -= 1;
        });
        response.setHeader("x-server-stamp", `stamp.${this.id}.${id}`);
        if (this.opts.kind !== "stream") {
            await pause(this.opts.workMs);
            const text = `answer to ${id}`;
            response.writeHead(200, { "content-type": "text/plain", "content-length": text.length }).end(text);
            return;
        }
        response.writeHead(200, { "content-type": "text/event-stream" });
        for (let event = run.after + 1; event <= this.opts.eventCount && !response.destroyed; event += 1) {
            await pause(this.opts.eventGapMs);
            response.write(`id: ${event}\ndata: ${this.opts.textOf(id, event)}\n\n`);
        }
        response.end();
    }
}

/** Returns the data of an event of a request, which is the same at each replica. */
export function eventText(id, event) {
    return `${id}-${event}`;
}

export function pause(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}
