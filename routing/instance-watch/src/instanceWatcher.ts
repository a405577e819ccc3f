import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

const DEFAULT_INTERVAL_MS = 1000;
const JITTER_SHARE = 0.2;

/** Polls the instance list. Keeps the last response while the list is unavailable. */
export class InstanceWatcher {
    private readonly opts: {
        instanceList: InstanceList;
        clock: Clock;
        random: Random;
        logger: Logger;
        intervalMs?: number;
    };
    private readonly stopping = new AbortController();
    private readonly listeners = new Set<(records: InstanceRecord[]) => void>();
    private records: InstanceRecord[] = [];
    private loop: Promise<void> = Promise.resolve();

    constructor(opts: InstanceWatcher["opts"]) {
        this.opts = opts;
    }

    /** Starts polling. Resolves after the first attempt to read the list, even if it fails. */
    async start(): Promise<void> {
        await this.poll();
        this.loop = this.run();
    }

    /** Stops polling. Resolves after the poll in progress has ended. */
    async stop(): Promise<void> {
        this.stopping.abort();
        await this.loop;
    }

    /** Returns the instances from the last successful poll, shape [instances]. */
    current(): InstanceRecord[] {
        return this.records;
    }

    /** Calls `listener` after each successful poll. */
    subscribe(listener: (records: InstanceRecord[]) => void): void {
        this.listeners.add(listener);
    }

    private async run(): Promise<void> {
        const { clock, random, intervalMs = DEFAULT_INTERVAL_MS } = this.opts;
        while (!this.stopping.signal.aborted) {
            const jitter = 1 + JITTER_SHARE * (2 * random.next() - 1);
            await sleep(clock, intervalMs * jitter, this.stopping.signal);
            if (!this.stopping.signal.aborted) {
                await this.poll();
            }
        }
    }

    private async poll(): Promise<void> {
        try {
            this.records = await this.opts.instanceList.list();
        }
        catch (error) {
            this.opts.logger.debug("instance-list-unavailable", { error: String(error) });
            return;
        }
        this.listeners.forEach(listener => listener(this.records));
    }
}
