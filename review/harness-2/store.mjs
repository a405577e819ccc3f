// A stand-in for the platform's metadata store, as PROTOCOL.md describes it: keys, leases, transactions and watches.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";

const LEASE_CHECK_INTERVAL_MS = 20;
const PAGE_ITEMS = 500;
/** Largest value, as the settings name it. */
export const VALUE_BYTES = 1_048_576;

/** Keeps everything in memory. One revision counter increases with each change. */
export class Store {
    /** Names of the nodes whose calls are answered with a connection reset, shape [nodes]. */
    resetNodes = new Set();
    /** Called with each lease that has run out and the keys that were removed with it. */
    onLeaseEnded = () => undefined;
    #items = new Map();
    #leases = new Map();
    #history = [];
    #waiting = new Set();
    #watchesBegun = new Map();
    #revision = 10;
    #leaseNumber = 100;
    #servers = [];
    #leaseTimer = setInterval(() => this.#endLeases(), LEASE_CHECK_INTERVAL_MS);

    /** Listens on an address of its own for one node, so that calls can be told apart. Resolves to the port. */
    async listen(host, node) {
        const server = createServer((request, response) => {
            this.#handle(request, response, node).catch(() => response.destroy());
        });
        server.keepAliveTimeout = 60_000;
        await new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, host, resolve);
        });
        this.#servers.push(server);
        return server.address().port;
    }

    close() {
        clearInterval(this.#leaseTimer);
        this.#servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    /** Writes one item as the operator or a replica does. Returns the revision. */
    put(key, value) {
        return this.#transact([], [{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 }], [])
            .revision;
    }

    remove(key) {
        return this.#transact([], [], [key]).revision;
    }

    has(key) {
        return this.#items.has(key);
    }

    /** Returns the decoded JSON value of a key. */
    read(key) {
        const item = this.#items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString("utf8");
    }

    /** Time until the last lease of a node runs out, in milliseconds. */
    leaseLeftMs(node) {
        const ends = [...this.#leases.values()].filter(lease => lease.node === node).map(lease => lease.endsAtMs);
        return Math.max(0, ...ends) - Date.now();
    }

    /** Closes the connections of the watches of `prefix` that are waiting, in an orderly way, without a response. */
    cutWatches(prefix) {
        const cut = [...this.#waiting].filter(watch => watch.prefix === prefix);
        cut.forEach(watch => watch.cut());
        return cut.map(watch => watch.node);
    }

    /** Number of watches of `prefix` that a node has begun. */
    watchesBegun(node, prefix) {
        return this.#watchesBegun.get(`${node} ${prefix}`) ?? 0;
    }

    /** Has the connections of a node's waiting watches of `prefix` go silent for good. Returns how many. */
    silenceWatches(node, prefix) {
        const silenced = [...this.#waiting].filter(watch => watch.node === node && watch.prefix === prefix);
        silenced.forEach(watch => watch.silence());
        return silenced.length;
    }

    async #handle(request, response, node) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        if (this.resetNodes.has(node)) {
            request.socket.resetAndDestroy();
            return;
        }
        const url = new URL(request.url, "http://store");
        const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8"));
        const query = url.searchParams;
        const [, , call, id] = url.pathname.split("/");
        switch (call) {
            case "kv-key": {
                const item = this.#items.get(query.get("key"));
                send(response, item === undefined ? 404 : 200, item ?? {});
                return;
            }
            case "kv-range":
                send(response, 200, this.#range(query.get("prefix") ?? "", query.get("after") ?? ""));
                return;
            case "kv-watch":
                this.#watch(request, response, query, node);
                return;
            case "kv-txn": {
                const result = this.#transact(body.precondition ?? [], body.puts ?? [], body.remove ?? []);
                send(response, result.status, result);
                return;
            }
            case "kv-lease": {
                const lease = this.#leaseNumber++;
                this.#leases.set(lease, { ttlMs: body.ttlMs, endsAtMs: Date.now() + body.ttlMs, node });
                send(response, 200, { lease, ttlMs: body.ttlMs });
                return;
            }
            case "kv-keep": {
                const lease = this.#leases.get(Number(id));
                if (lease !== undefined) {
                    lease.endsAtMs = Date.now() + lease.ttlMs;
                }
                send(response, lease === undefined ? 404 : 200, { ttlMs: lease?.ttlMs });
                return;
            }
            case "kv-lease-end":
                this.#endLease(Number(id));
                send(response, 200, {});
                return;
            default:
                send(response, 404, {});
        }
    }

    #range(prefix, after) {
        const found = [...this.#items.values()]
            .filter(item => item.key.startsWith(prefix) && item.key > after)
            .sort((left, right) => (left.key < right.key ? -1 : 1));
        return {
            items: found.slice(0, PAGE_ITEMS),
            hasMore: found.length > PAGE_ITEMS,
            currentRev: this.#revision,
        };
    }

    #watch(request, response, query, node) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const missed = this.#history.filter(event => event.revision > after && event.key.startsWith(prefix));
        if (missed.length > 0) {
            send(response, 200, { events: missed, currentRev: this.#revision });
            return;
        }
        const end = () => {
            clearTimeout(timer);
            this.#waiting.delete(watch);
        };
        const answer = events => {
            end();
            send(response, 200, { events, currentRev: this.#revision });
        };
        const timer = setTimeout(() => answer([]), Number(query.get("waitMs") ?? 0));
        const watch = {
            prefix,
            node,
            answer,
            silence: end,
            cut: () => {
                end();
                request.socket.end();
            },
        };
        this.#waiting.add(watch);
        this.#watchesBegun.set(`${node} ${prefix}`, this.watchesBegun(node, prefix) + 1);
        response.once("close", end);
    }

    #transact(precondition, puts, remove) {
        const failed = precondition.some(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision);
        if (failed) {
            const items = precondition.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
            return { status: 412, revision: this.#revision, items };
        }
        if (puts.some(({ lease }) => (lease ?? 0) !== 0 && !this.#leases.has(lease))) {
            return { status: 404, revision: this.#revision };
        }
        if (puts.some(({ value }) => Buffer.byteLength(value, "base64") > VALUE_BYTES)) {
            return { status: 413, revision: this.#revision };
        }
        if (puts.length === 0 && !remove.some(key => this.#items.has(key))) {
            return { status: 200, revision: this.#revision };
        }
        this.#revision += 1;
        const revision = this.#revision;
        const events = [
            ...puts.map(({ key, value, lease }) => {
                const created = this.#items.get(key)?.created ?? revision;
                const item = { key, value, revision, created, lease: lease ?? 0 };
                this.#items.set(key, item);
                return item;
            }),
            ...remove.filter(key => this.#items.delete(key)).map(key => ({ key, revision, deleted: true })),
        ];
        this.#publish(events);
        return { status: 200, revision };
    }

    #publish(events) {
        this.#history.push(...events);
        [...this.#waiting].forEach(watch => {
            const matching = events.filter(event => event.key.startsWith(watch.prefix));
            if (matching.length > 0) {
                watch.answer(matching);
            }
        });
    }

    #endLeases() {
        [...this.#leases].filter(([, lease]) => lease.endsAtMs <= Date.now()).forEach(([id]) => this.#endLease(id));
    }

    #endLease(id) {
        const lease = this.#leases.get(id);
        if (lease === undefined) {
            return;
        }
        this.#leases.delete(id);
        const keys = [...this.#items.values()].filter(item => item.lease === id).map(item => item.key);
        this.#transact([], [], keys);
        this.onLeaseEnded(lease.node, keys);
    }
}

function send(response, status, body) {
    if (response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
