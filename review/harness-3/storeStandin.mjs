// A stand-in for the platform's store, as PROTOCOL.md describes it. Each node reaches it at a port of its own, so that a case
// can disturb the store for one node or for all.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";

const MAX_ENTRIES = 32;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const VALUE_BYTES = 1_048_576;
const ANSWER_DELAY_MS = 4;
const EXPIRY_INTERVAL_MS = 20;

export class StoreStandin {
    constructor(host) {
        this.host = host;
        this.revision = 100;
        this.valueBytes = VALUE_BYTES;
        this.items = new Map();
        this.leases = new Map();
        this.events = [];
        this.nextLease = 77000;
        this.waiting = new Set();
        this.servers = [];
        /** What happens to the calls of a node: undefined, "silent", "reset" or "busy". */
        this.modes = new Map();
        this.sockets = new Map();
        this.calls = [];
        /** Called before a call is carried out. It may return "lost": done, but not answered. */
        this.intercept = () => undefined;
        this.timer = setInterval(() => this.expire(), EXPIRY_INTERVAL_MS);
        this.timer.unref();
    }

    /** Listens for one node and returns the port. */
    async listenFor(node) {
        const server = createServer((request, response) => void this.handle(node, request, response));
        server.keepAliveTimeout = 60_000;
        this.sockets.set(node, new Set());
        server.on("connection", socket => {
            this.sockets.get(node).add(socket);
            socket.on("close", () => this.sockets.get(node).delete(socket));
            socket.on("error", () => undefined);
        });
        await new Promise(resolve => server.listen(0, this.host, resolve));
        this.servers.push(server);
        return server.address().port;
    }

    /** Begins or ends an outage for some nodes. A reset also cuts the open connections. */
    setMode(nodes, mode) {
        nodes.forEach(node => {
            this.modes.set(node, mode);
            if (mode === "reset") {
                this.sockets.get(node).forEach(socket => socket.resetAndDestroy());
            }
        });
    }

    close() {
        clearInterval(this.timer);
        this.servers.forEach(server => {
            server.closeAllConnections();
            server.close();
        });
    }

    /** Writes an item as the operator or a replica does, and returns the revision. */
    put(key, value) {
        return this.write([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 }], []);
    }

    remove(key) {
        return this.write([], [key]);
    }

    get(key) {
        const item = this.items.get(key);
        return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString());
    }

    write(puts, removals) {
        this.revision += 1;
        const { revision } = this;
        puts.forEach(({ key, value, lease }) => {
            const created = this.items.get(key)?.created ?? revision;
            const item = { key, value, revision, created, lease: lease ?? 0 };
            this.items.set(key, item);
            this.events.push({ key, revision, event: item });
        });
        removals.filter(key => this.items.delete(key)).forEach(key =>
            this.events.push({ key, revision, event: { key, revision, deleted: true } })
        );
        [...this.waiting].forEach(wake => wake());
        return revision;
    }

    expire() {
        const nowMs = performance.now();
        const ended = [...this.leases].filter(([, lease]) => lease.endsAtMs <= nowMs).map(([id]) => id);
        ended.forEach(id => this.endLease(id));
    }

    endLease(id) {
        this.leases.delete(id);
        const keys = [...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
        if (keys.length > 0) {
            this.write([], keys);
        }
    }

    async handle(node, request, response) {
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
        const text = Buffer.concat(chunks).toString();
        const mode = this.modes.get(node);
        if (mode === "silent") {
            return;
        }
        if (mode === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        if (mode === "busy") {
            send(response, 503, {});
            return;
        }
        const url = new URL(request.url, "http://store");
        const body = text === "" ? {} : JSON.parse(text);
        const [, call, id] = /^\/api\/([a-z-]+)(?:\/(.*))?$/u.exec(url.pathname) ?? [];
        const verdict = this.intercept({ node, call, body, url });
        const answer = await this.carryOut(call, id, url, body, request);
        this.calls.push({ node, call, status: answer?.[0] });
        setTimeout(() => {
            const now = this.modes.get(node);
            if (answer === undefined || verdict === "lost" || now === "silent" || now === "reset") {
                return;
            }
            send(response, answer[0], answer[1]);
        }, ANSWER_DELAY_MS);
    }

    async carryOut(call, id, url, body, request) {
        const query = url.searchParams;
        switch (call) {
            case "kv-key": {
                const item = this.items.get(query.get("key"));
                return item === undefined
                    ? [404, { currentRev: this.revision }]
                    : [200, { ...item, currentRev: this.revision }];
            }
            case "kv-range": {
                const prefix = query.get("prefix") ?? "";
                const after = query.get("after") ?? "";
                const items = [...this.items.values()]
                    .filter(({ key }) => key.startsWith(prefix) && key > after)
                    .sort((left, right) => left.key < right.key ? -1 : 1);
                const page = firstPage(items);
                return [200, { items: page, hasMore: items.length > page.length, currentRev: this.revision }];
            }
            case "kv-watch":
                return this.watch(query, request);
            case "kv-lease": {
                const lease = ++this.nextLease;
                const { ttlMs } = body;
                this.leases.set(lease, { ttlMs, endsAtMs: performance.now() + ttlMs });
                return [200, { lease, ttlMs }];
            }
            case "kv-keep": {
                const lease = this.leases.get(Number(id));
                if (lease === undefined) {
                    return [404, {}];
                }
                lease.endsAtMs = performance.now() + lease.ttlMs;
                return [200, { ttlMs: lease.ttlMs }];
            }
            case "kv-lease-end":
                this.endLease(Number(id));
                return [200, {}];
            case "kv-txn":
                return this.transact(body);
            default:
                return [404, {}];
        }
    }

    transact({ precondition = [], puts = [], remove = [] }) {
        if (precondition.length + puts.length + remove.length > MAX_ENTRIES) {
            return [413, {}];
        }
        if ([...puts, ...remove.map(key => ({ key }))].some(({ key }) => /^(?:op|servers)\//u.test(key))) {
            return [403, {}];
        }
        if (puts.some(({ value }) => Buffer.from(value, "base64").length > this.valueBytes)) {
            return [413, {}];
        }
        const current = precondition.map(({ key }) => this.items.get(key) ?? { key, revision: 0 });
        if (precondition.some(({ revision }, index) => current[index].revision !== revision)) {
            return [412, { items: current, currentRev: this.revision }];
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
            return [404, {}];
        }
        return [200, { revision: this.write(puts, remove) }];
    }

    async watch(query, request) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const found = () =>
            this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
                .map(({ event }) => event);
        const endsAtMs = performance.now() + Number(query.get("waitMs"));
        for (;;) {
            const events = found();
            const leftMs = endsAtMs - performance.now();
            if (events.length > 0 || leftMs <= 0 || request.socket.destroyed) {
                return [200, { events, currentRev: this.revision }];
            }
            await new Promise(resolve => {
                const finish = () => {
                    this.waiting.delete(finish);
                    clearTimeout(timer);
                    request.socket.off("close", finish);
                    resolve();
                };
                const timer = setTimeout(finish, leftMs);
                this.waiting.add(finish);
                request.socket.once("close", finish);
            });
        }
    }
}

/** Returns the first items, at most about 500 or a megabyte, but at least one. */
function firstPage(items) {
    let bytes = 0;
    const tooMany = items.findIndex(({ value }, index) => {
        bytes += value.length;
        return index > 0 && (bytes > PAGE_BYTES || index >= PAGE_ITEMS);
    });
    return tooMany < 0 ? items : items.slice(0, tooMany);
}

function send(response, statusCode, body) {
    if (!response.destroyed) {
        const text = JSON.stringify(body);
        response.writeHead(statusCode, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
        });
        response.end(text);
    }
}
