import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { Exchange } from "./exchange.js";
import type { ExchangeHandler } from "./exchangeHandler.js";
import type { ExchangeRequest } from "./exchangeRequest.js";
import { UpstreamConnection } from "./upstreamConnection.js";

interface Pool {
    /** Connections that may carry a request, the last used one last. */
    idle: UpstreamConnection[];
    all: Set<UpstreamConnection>;
}

/** The connections of this process to upstreams; kept open between requests, since new ones cost both ends. */
export class UpstreamConnections {
    private readonly pools = new Map<string, Pool>();

    /** Sends a request to the upstream, on an idle connection where there is one. */
    send(upstream: Upstream, request: ExchangeRequest, handler: ExchangeHandler): Exchange {
        const pool = this.poolOf(upstream);
        const connection = pool.idle.pop() ?? this.open(upstream, pool);
        return connection.send(request, handler);
    }

    /** Closes the idle connections to an upstream that left; those in use close when their exchanges end. */
    forget(upstream: Upstream): void {
        const key = keyOf(upstream);
        this.pools.get(key)?.idle.splice(0).forEach(connection => connection.destroy());
        this.pools.delete(key);
    }

    close(): void {
        [...this.pools.values()].flatMap(pool => [...pool.all]).forEach(connection => connection.destroy());
        this.pools.clear();
    }

    private poolOf(upstream: Upstream): Pool {
        const key = keyOf(upstream);
        const pool = this.pools.get(key) ?? { idle: [], all: new Set() };
        this.pools.set(key, pool);
        return pool;
    }

    private open(upstream: Upstream, pool: Pool): UpstreamConnection {
        const connection: UpstreamConnection = new UpstreamConnection({
            address: upstream.address,
            onIdle: () => {
                if (this.pools.get(keyOf(upstream)) === pool && pool.all.has(connection)) {
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

/** Another start of a process under the same id and address gets connections of its own. */
function keyOf(upstream: Upstream): string {
    return `${upstream.id} ${upstream.startedAtMs}`;
}
