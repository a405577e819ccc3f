import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";

const LEASE_CHECK_MS = 50;
const PAGE_ITEMS = 500;

/**
 * Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store"). Each machine gets an address
 * of its own, so that the store can tell the machines apart. All state is in memory and never lost.
 */
export class StoreStandin {
    /** `up` serves all calls; `busy` responds with status 503; `silent` doesn't respond. */
    mode = "up";
    #revision = 1;
    #items = new Map();
    #history = [];
    #leases = new Map();
    #nextLease = 1000;
    #watchers = new Set();
    #servers = [];
    #timer = setInterval(() => this.#expireLeases(), LEASE_CHECK_MS);
    /** What to do with the next watch of a machine on a prefix. */
    #expectedWatch;

    /** Opens an address for the machine `name` and returns it as `IP:PORT`. */
    async listen(host, name) {
        const server = createServer((request, response) => {
            this.#handle(request, response, name).catch(error => respond(response, 400, { error: String(error) }));
        });
        await new Promise(resolve => server.listen(0, host, resolve));
        this.#servers.push(server);
        return `${host}:${server.address().port}`;
    }

    /** Writes an item without conditions, as the operator or a replica does. Returns its revision. */
    put(key, value) {
        this.#revision += 1;
        this.#write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
        this.#wake();
        return this.#revision;
    }

    /** Removes an item, as when the entry of a replica expires. */
    remove(key) {
        if (this.#items.has(key)) {
            this.#revision += 1;
            this.#delete(key);
            this.#wake();
        }
    }

    /** Returns the keys that begin with `prefix`. */
    keys(prefix) {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix)).sort();
    }

    /** Returns the decoded JSON value of a key; undefined if it is absent or not JSON. */
    value(key) {
        try {
            return JSON.parse(Buffer.from(this.#items.get(key).value, "base64").toString("utf8"));
        }
        catch {
            return undefined;
        }
    }

    /**
     * Lets the connection of the next watch of a machine on a prefix go silent: nothing that is sent on it arrives from then
     * on, in either direction. Resolves when that watch has arrived.
     */
    silenceNextWatch(name, prefix) {
        return new Promise(resolve => {
            this.#expectedWatch = { name, prefix, resolve };
        });
    }

    close() {
        clearInterval(this.#timer);
        this.#servers.forEach(server => {
            server.closeAllConnections();
            server.close();
        });
    }

    async #handle(request, response, name) {
        if (this.mode === "busy") {
            respond(response, 503, {});
            return;
        }
        if (this.mode === "silent") {
            return;
        }
        const url = new URL(request.url, "http://store");
        const [, , call, id] = url.pathname.split("/");
        const query = url.searchParams;
        const body = await readJson(request);
        if (this.#isToBeSilenced(name, call, query)) {
            request.socket.pause();
            this.#expectedWatch.resolve();
            this.#expectedWatch = undefined;
            return;
        }
        if (this.mode !== "up") {
            return;
        }
        switch (call) {
            case "kv-key": {
                const item = this.#items.get(query.get("key"));
                respond(response, item === undefined ? 404 : 200, { ...item, currentRev: this.#revision });
                return;
            }
            case "kv-range":
                respond(response, 200, this.#range(query.get("prefix") ?? "", query.get("after") ?? ""));
                return;
            case "kv-watch":
                this.#watch(request, response, query);
                return;
            case "kv-txn":
                this.#transact(response, body);
                return;
            case "kv-lease": {
                const lease = this.#nextLease++;
                this.#leases.set(lease, { ttlMs: body.ttlMs, endsAtMs: Date.now() + body.ttlMs });
                respond(response, 200, { lease, ttlMs: body.ttlMs });
                return;
            }
            case "kv-keep": {
                const lease = this.#leases.get(Number(id));
                if (lease === undefined) {
                    respond(response, 404, {});
                    return;
                }
                lease.endsAtMs = Date.now() + lease.ttlMs;
                respond(response, 200, { ttlMs: lease.ttlMs });
                return;
            }
            case "kv-lease-end":
                this.#endLease(Number(id));
                respond(response, 200, {});
                return;
            default:
                respond(response, 404, {});
        }
    }

    #isToBeSilenced(name, call, query) {
        const expected = this.#expectedWatch;
        return expected?.name === name && call === "kv-watch" && query.get("prefix") === expected.prefix;
    }

    #range(prefix, after) {
        const keys = this.keys(prefix).filter(key => key > after);
        return {
            items: keys.slice(0, PAGE_ITEMS).map(key => this.#items.get(key)),
            hasMore: keys.length > PAGE_ITEMS,
            currentRev: this.#revision,
        };
    }

    #watch(request, response, query) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const watcher = () => {
            const events = this.#history.filter(event => event.revision > after && event.key.startsWith(prefix));
            if (events.length > 0 && this.mode === "up") {
                finish(events);
            }
        };
        const finish = events => {
            clearTimeout(timer);
            this.#watchers.delete(watcher);
            respond(response, 200, { events, currentRev: this.#revision });
        };
        const timer = setTimeout(() => this.mode === "up" && finish([]), Number(query.get("waitMs")));
        response.once("close", () => {
            clearTimeout(timer);
            this.#watchers.delete(watcher);
        });
        this.#watchers.add(watcher);
        watcher();
    }

    #transact(response, { precondition = [], puts = [], remove = [] }) {
        const isMet = precondition.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision);
        if (!isMet) {
            const items = precondition.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
            respond(response, 412, { items });
            return;
        }
        if (puts.some(({ lease }) => lease !== undefined && lease !== 0 && !this.#leases.has(lease))) {
            respond(response, 404, {});
            return;
        }
        this.#revision += 1;
        puts.forEach(({ key, value, lease }) => this.#write(key, value, lease ?? 0));
        remove.filter(key => this.#items.has(key)).forEach(key => this.#delete(key));
        respond(response, 200, { revision: this.#revision });
        this.#wake();
    }

    #write(key, value, lease) {
        const created = this.#items.get(key)?.created ?? this.#revision;
        const item = { key, value, revision: this.#revision, created, lease };
        this.#items.set(key, item);
        this.#history.push(item);
    }

    #delete(key) {
        this.#items.delete(key);
        this.#history.push({ key, revision: this.#revision, deleted: true });
    }

    #endLease(lease) {
        const keys = [...this.#items.values()].filter(item => item.lease === lease).map(item => item.key);
        this.#leases.delete(lease);
        if (keys.length > 0) {
            this.#revision += 1;
            keys.forEach(key => this.#delete(key));
            this.#wake();
        }
    }

    /** Leases run out at any time, also while the store is down. */
    #expireLeases() {
        const nowMs = Date.now();
        [...this.#leases].filter(([, { endsAtMs }]) => endsAtMs < nowMs).forEach(([lease]) => this.#endLease(lease));
    }

    #wake() {
        [...this.#watchers].forEach(watcher => watcher());
    }
}

async function readJson(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text);
}

function respond(response, statusCode, body) {
    const text = JSON.stringify(body);
    response.writeHead(statusCode, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
