// A stand-in for a replica: runs requests and items, and registers itself in the store's `servers/`.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const HEARTBEAT_MS = 1200;

export class Replica {
    /** Requests that reached the replica, shape [requests]. */
    arrivals = [];
    address = "";
    #opts;
    #server;
    #sequence = 0;
    #heartbeat;
    #state = "ready";
    #sockets = new Set();

    /**
     * @param opts.store where it registers itself
     * @param opts.handle responds to a request that isn't refused; undefined for the default
     */
    constructor(opts) {
        this.#opts = { version: "1", zone: "z-a", slots: 8, workMs: 30, ...opts };
    }

    get id() {
        return this.#opts.id;
    }

    get key() {
        return `servers/${this.#opts.id}`;
    }

    async start(host, port = 0) {
        this.born = Date.now();
        this.#server = createServer((request, response) => void this.#handle(request, response));
        this.#server.keepAliveTimeout = 60_000;
        this.#server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.once("close", () => this.#sockets.delete(socket));
        });
        await new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
        this.address = `${host}:${this.#server.address().port}`;
        this.#register();
        this.#heartbeat = setInterval(() => this.#register(), HEARTBEAT_MS);
    }

    /** Removes the entry and stops writing it. The replica continues to serve. */
    unregister() {
        clearInterval(this.#heartbeat);
        this.#heartbeat = undefined;
        this.#opts.store.remove(this.key);
    }

    get version() {
        return this.#opts.version;
    }

    /** Ends the process without a word. Its entry stays until it is written again or expires. */
    crash() {
        clearInterval(this.#heartbeat);
        this.#server.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    /** Starts again under the same id and address, as a process of the given version. */
    async startAgain(version) {
        this.#opts.version = version;
        this.#sequence = 0;
        const [host, port] = this.address.split(":");
        await this.start(host, Number(port));
    }

    /** Ends the process: resets all connections. */
    exit() {
        clearInterval(this.#heartbeat);
        this.#server.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    #register() {
        const { service, zone, version, slots } = this.#opts;
        this.#sequence += 1;
        this.#opts.store.put(this.key, {
            service,
            address: this.address,
            zone,
            version,
            slots,
            state: this.#state,
            warmupLeftMs: 0,
            sequence: this.#sequence,
            born: this.born,
        });
    }

    async #handle(request, response) {
        const arrivedAtMs = Date.now();
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const body = Buffer.concat(chunks);
        const id = request.headers["x-request-id"];
        const expected = request.headers["x-expect-instance"];
        if (request.url === "/api/report" || request.url === "/health") {
            response.writeHead(200, { "x-instance-id": this.id, "content-length": 2 }).end("{}");
            return;
        }
        if (id === undefined || (expected !== undefined && expected !== this.id)) {
            response.writeHead(id === undefined ? 400 : 421, { "x-not-run": "1", "content-length": 0 }).end();
            return;
        }
        const arrival = {
            replicaId: this.id,
            id,
            path: request.url,
            atMs: arrivedAtMs,
            outcome: "running",
            headers: request.headers,
        };
        this.arrivals.push(arrival);
        response.on("close", () => {
            arrival.outcome = response.writableFinished ? "answered" : "cut";
            arrival.endedAtMs = Date.now();
        });
        response.setHeader("x-request-id", id);
        response.setHeader("x-server-stamp", `${this.id}.${id}`);
        const handle = this.#opts.handle ?? respond;
        await handle({ request, response, body, id, workMs: this.#opts.workMs, replica: this });
    }
}

async function respond({ request, response, id, workMs }) {
    if (request.headers["x-token-counts"] === undefined) {
        await pause(workMs);
        const text = `answer ${id}`;
        response.writeHead(200, { "content-length": Buffer.byteLength(text) }).end(text);
        return;
    }
    await writeEvents({ request, response, id, workMs, events: 5 });
}

/** Writes a stream of events, of which each names the request its number and, if given, a mark. */
export async function writeEvents({ request, response, id, workMs, events, mark }) {
    const after = Number(request.headers["last-event-id"] ?? 0);
    response.writeHead(200, { "content-type": "text/event-stream" });
    for (let number = after + 1; number <= events; number += 1) {
        await pause(workMs);
        if (response.destroyed) {
            return;
        }
        response.write(`id: ${number}\ndata: ${id}-${number}${mark === undefined ? "" : `@${mark}`}\n\n`);
    }
    response.end();
}

export function pause(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}
