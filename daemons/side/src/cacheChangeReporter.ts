import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { cacheChangeNotification } from "@knapweedwood/daemons.inference/cacheChangeNotification";
import type { CacheEvent } from "@knapweedwood/engines.model-engine/cacheEvent";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";

const RETRY_MS = 5000;
const RATE_WINDOW_MS = 1000;
const MAX_BLOCKS_PER_WINDOW = 200;

interface CacheChangeReporterOptions {
    endpoint: LinkEndpoint;
    clock: Clock;
    engine: Pick<ModelEngine, "cacheEvents">;
    service: ServiceName;
}

/**
 * Forwards the cache events of the engine to the linked entries, which choose upstreams by their cached prefixes.
 * Events above a rate limit are dropped. Entries detect the gap in the sequence numbers and rely less on their local
 * view of this engine's cache.
 */
export class CacheChangeReporter {
    private readonly opts: CacheChangeReporterOptions;
    private readonly stopping = new AbortController();
    private running: Promise<void> = Promise.resolve();
    private windowEndsAtMs = 0;
    private remainingBlocks = 0;

    constructor(opts: CacheChangeReporterOptions) {
        this.opts = opts;
    }

    start(): void {
        this.running = this.run();
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        await this.running;
    }

    private async run(): Promise<void> {
        const { clock } = this.opts;
        const { signal } = this.stopping;
        while (!signal.aborted) {
            await this.forwardEvents().catch(() => undefined);
            await sleep(clock, RETRY_MS, signal);
        }
    }

    private async forwardEvents(): Promise<void> {
        for await (const event of this.opts.engine.cacheEvents({ signal: this.stopping.signal })) {
            if (this.trySpendBlocks(event.blockHashes.length)) {
                this.notifyEntries(event);
            }
        }
    }

    private notifyEntries(event: CacheEvent): void {
        const { endpoint, service } = this.opts;
        const change = { ...event, service, instanceId: endpoint.identity.instanceId };
        endpoint.links()
            .filter(link => link.peer?.kind === "entry")
            .forEach(link => link.notify(cacheChangeNotification, change));
    }

    private trySpendBlocks(blockCount: number): boolean {
        const nowMs = this.opts.clock.nowMs();
        if (nowMs >= this.windowEndsAtMs) {
            this.windowEndsAtMs = nowMs + RATE_WINDOW_MS;
            this.remainingBlocks = MAX_BLOCKS_PER_WINDOW;
        }
        const isAllowed = this.remainingBlocks > 0;
        this.remainingBlocks -= blockCount;
        return isAllowed;
    }
}
