import type { Clock } from "@knapweedwood/core.clock/clock";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { upstreamProcessKeyOf } from "@knapweedwood/fleet.view/upstreamProcessKeyOf";
import type { Exchange } from "./exchange.js";
import type { ExchangeHandler } from "./exchangeHandler.js";
import type { ExchangeObserver } from "./exchangeObserver.js";
import type { ExchangeRequest } from "./exchangeRequest.js";
import { PartBudget } from "./partBudget.js";
import { UpstreamConnection } from "./upstreamConnection.js";

interface Pool {
    /** Idle connections, the most recently used last. */
    idle: UpstreamConnection[];
    all: Set<UpstreamConnection>;
}

/**
 * Pools the connections of this process to upstreams, since opening one takes time at both ends. All requests to upstreams
 * are sent here.
 */
export class UpstreamConnections {
    private readonly observer: ExchangeObserver;
    private readonly clock: Clock;
    private readonly partBudget: PartBudget;
    private readonly pools = new Map<UpstreamProcessKey, Pool>();

    /** @param observer told of all requests and responses; without it nothing is observed */
    constructor(
        observer: ExchangeObserver = { onSent: () => undefined, onResponse: () => undefined },
        clock: Clock = new SystemClock(),
    ) {
        this.observer = observer;
        this.clock = clock;
        this.partBudget = new PartBudget({ clock });
    }

    /**
     * Sends a request to the upstream on an idle connection, or on a new one if none is idle. A request that is sent again
     * gets another connection, since a late second response to the first attempt has the same id.
     */
    send(upstream: Upstream, request: ExchangeRequest, handler: ExchangeHandler): Exchange {
        const connection = this.connectionFor(upstream, request);
        if (connection === undefined) {
            return failLater(handler);
        }
        this.observer.onSent(upstream);
        return connection.send(request, {
            onHead: head => {
                this.observer.onResponse(upstream, head);
                handler.onHead(head);
            },
            onData: chunk => handler.onData(chunk),
            onTinyParts: () => handler.onTinyParts?.(),
            onEnd: ending => handler.onEnd(ending),
            onFailure: failure => handler.onFailure(failure),
        });
    }

    /** Returns a connection for a request; undefined if none can be opened to the upstream's address. */
    private connectionFor(upstream: Upstream, { requestId }: ExchangeRequest): UpstreamConnection | undefined {
        const pool = this.poolOf(upstream);
        try {
            return takeIdle(pool, requestId) ?? this.open(upstream, pool);
        }
        catch {
            return undefined;
        }
    }

    /** Closes the idle connections to a removed upstream; those in use close when their exchanges end. */
    forget(upstream: Upstream): void {
        const key = upstreamProcessKeyOf(upstream);
        this.pools.get(key)?.idle.splice(0).forEach(connection => connection.destroy());
        this.pools.delete(key);
    }

    /** Closes all connections. */
    close(): void {
        [...this.pools.values()].flatMap(pool => [...pool.all]).forEach(connection => connection.destroy());
        this.pools.clear();
    }

    private poolOf(upstream: Upstream): Pool {
        const key = upstreamProcessKeyOf(upstream);
        const pool = this.pools.get(key) ?? { idle: [], all: new Set() };
        this.pools.set(key, pool);
        return pool;
    }

    private open(upstream: Upstream, pool: Pool): UpstreamConnection {
        const connection: UpstreamConnection = new UpstreamConnection({
            clock: this.clock,
            partBudget: this.partBudget,
            address: upstream.address,
            onIdle: () => {
                if (this.pools.get(upstreamProcessKeyOf(upstream)) === pool && pool.all.has(connection)) {
                    pool.idle.push(connection);
                }
                else {
                    connection.destroy();
                }
            },
            onClosed: () => {
                pool.all.delete(connection);
                pool.idle = pool.idle.filter(other => other !== connection);
            },
        });
        pool.all.add(connection);
        return connection;
    }
}

/** Returns an exchange that fails before anything is sent. */
function failLater(handler: ExchangeHandler): Exchange {
    let isAborted = false;
    queueMicrotask(() => {
        if (!isAborted) {
            handler.onFailure({
                mayHaveRun: false,
                isUnreachable: true,
                isConnectionBroken: false,
                code: "ADDRESS_UNUSABLE",
            });
        }
    });
    return {
        abort: () => {
            isAborted = true;
        },
        pause: () => undefined,
        resume: () => undefined,
    };
}

/** Takes the idle connection that was used last and hasn't carried a request with this id. */
function takeIdle(pool: Pool, requestId: string): UpstreamConnection | undefined {
    const index = pool.idle.findLastIndex(connection => !connection.hasCarried(requestId));
    return index < 0 ? undefined : pool.idle.splice(index, 1)[0];
}
