import { once } from "node:events";
import { createServer } from "node:http";
import { clearInterval, setInterval, setTimeout } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";

const HEARTBEAT_MS = 1200;
/** Time for which a replica that leaves serves longer than it has to, in milliseconds. */
const LINGER_MS = 300;

/**
 * Stand-in for a sound replica (PROTOCOL.md, "Replicas"). Streams `events` events with ids from 1 on, `eventMs` apart, and
 * resumes after `Last-Event-Id`. Records each request that it runs.
 */
export class ReplicaStandin {
    #server;
    #host;
    #port;
    #timer;
    #state = "ready";
    #sequence = 0;
    #born = Date.now();
    #opts;

    /**
     * @param opts.store the store where it registers itself
     * @param opts.record receives a line for each request that begins to run
     */
    constructor(opts) {
        this.#opts = { events: 20, eventMs: 20, slots: 8, version: "v1", ...opts };
        /** Requests that began to run: id, time, and whether the run was complete. */
        this.runs = [];
    }

    /** Begins to serve at a free port, and registers itself at once. */
    async listen(host) {
        this.#host = host;
        await this.#serve(0);
        this.#register();
    }

    /**
     * Ends, and starts again after `downMs` under the id and at the address that it had, with another software version. Its
     * entry in the store changes with its first heartbeat, `HEARTBEAT_MS` after the start.
     */
    async restart(version, downMs) {
        const { id, record } = this.#opts;
        record(`replica ${id} ends`);
        this.close();
        await sleep(downMs);
        this.#opts.version = version;
        this.#born = Date.now();
        await this.#serve(this.#port);
        record(`replica ${id} starts again, version ${version}`);
        this.#timer = setTimeout(() => this.#register(), HEARTBEAT_MS);
    }

    async #serve(port) {
        const server = createServer((request, response) => void this.#handle(request, response));
        await new Promise(resolve => server.listen(port, this.#host, resolve));
        this.#server = server;
        this.#port = server.address().port;
    }

    #register() {
        this.#announce();
        this.#timer = setInterval(() => this.#announce(), HEARTBEAT_MS);
    }

    #announce() {
        const { store, id, service, zone, version, slots } = this.#opts;
        if (store.mode === "up") {
            this.#sequence += 1;
            store.put(`servers/${id}`, {
                service,
                address: `${this.#host}:${this.#port}`,
                zone,
                version,
                slots,
                state: this.#state,
                warmupLeftMs: 0,
                sequence: this.#sequence,
                born: this.#born,
            });
        }
    }

    /** Leaves as planned: reports `draining`, serves for `drainMs` and a little longer, then ends. */
    async leave(drainMs) {
        this.#state = "draining";
        this.#announce();
        await sleep(drainMs + LINGER_MS);
        this.#opts.record(`replica ${this.#opts.id} has left`);
        this.#opts.store.remove(`servers/${this.#opts.id}`);
        this.close();
    }

    close() {
        clearInterval(this.#timer);
        this.#server.closeAllConnections();
        this.#server.close();
    }

    async #handle(request, response) {
        const { id, service, version, events, eventMs, record } = this.#opts;
        request.resume();
        await once(request, "end");
        const requestId = request.headers["x-request-id"];
        const expected = request.headers["x-expect-instance"];
        if (request.url === "/health") {
            response.writeHead(200, { "x-instance-id": id, "content-length": 0 }).end();
            return;
        }
        if (requestId === undefined || (expected !== undefined && expected !== id)) {
            const statusCode = requestId === undefined ? 400 : 421;
            response.writeHead(statusCode, { "x-not-run": "1", "x-request-id": requestId ?? "", "content-length": 0 });
            response.end();
            return;
        }
        const run = { requestId, atMs: Date.now(), isComplete: false };
        this.runs.push(run);
        const lastEventId = request.headers["last-event-id"];
        const after = lastEventId === undefined ? "" : ` after event ${lastEventId}`;
        record(`replica ${id} of ${service}@${version} runs ${requestId} ${request.method} ${request.url}${after}`);
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "x-request-id": requestId,
            "x-server-stamp": `${id}.${requestId}`,
            ...this.#state === "draining" ? { "server-leaving": "1" } : {},
        });
        const first = Number(lastEventId ?? 0) + 1;
        for (let event = first; event <= events && !response.destroyed; event += 1) {
            await sleep(eventMs);
            response.write(`id: ${event}\ndata: ${service}@${version} ${requestId} ${event}\n\n`);
        }
        run.isComplete = !response.destroyed;
        record(`replica ${id} ends its run of ${requestId}: ${run.isComplete ? "complete" : "cut off"}`);
        response.end();
    }
}
