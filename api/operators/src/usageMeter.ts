import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { addUsage } from "./addUsage.js";
import type { UsageRecord } from "./usageRecord.js";
import type { UsageTotals } from "./usageTotals.js";
import type { UsageView } from "./usageView.js";

/** A process that is killed loses the usage of one period at most. */
const FLUSH_PERIOD_MS = 30_000;
const DAY_CHARACTERS = 10;
const SHARD_DIGITS = 1;

interface UsageShard {
    totals: Map<TeamId, UsageTotals>;
    isChanged: boolean;
}

/**
 * Counts the usage of teams in this process. The totals of a day are stored under keys that only this process writes.
 * Each write contains the whole totals, so that it can be repeated if its response was lost. Totals that can't be
 * written are kept until the key-value service is available.
 */
export class UsageMeter implements UsageView {
    private readonly keyValue: KeyValueService;
    private readonly clock: Clock;
    private readonly logger: Logger;
    private readonly prefix: string;
    private readonly processName: string;
    private readonly shards = new Map<string, UsageShard>();
    private readonly stopController = new AbortController();
    private flushLoop: Promise<void> = Promise.resolve();

    /** @param opts.processName unique name of this process; it also differs between restarts of an instance */
    constructor(opts: {
        keyValue: KeyValueService;
        clock: Clock;
        logger: Logger;
        region: RegionName;
        processName: string;
    }) {
        this.keyValue = opts.keyValue;
        this.clock = opts.clock;
        this.logger = opts.logger;
        this.prefix = `regions/${opts.region}/usage/`;
        this.processName = opts.processName;
    }

    /** Starts to write the changed totals periodically. */
    start(): void {
        this.flushLoop = this.run();
    }

    /** Stops and writes the remaining totals. */
    async stop(): Promise<void> {
        this.stopController.abort();
        await this.flushLoop;
        await this.flush();
    }

    /** Adds usage to the totals of the current UTC day. */
    record(used: UsageRecord): void {
        const day = new Date(this.clock.nowMs()).toISOString().slice(0, DAY_CHARACTERS);
        const key = `${this.prefix}${day}/${this.processName}/${digestOf(used.teamId).slice(0, SHARD_DIGITS)}`;
        const shard = this.shards.get(key) ?? { totals: new Map<TeamId, UsageTotals>(), isChanged: true };
        shard.totals.set(used.teamId, addUsage(shard.totals.get(used.teamId) ?? {}, used));
        shard.isChanged = true;
        this.shards.set(key, shard);
    }

    async usageOfDay(day: string): Promise<Map<TeamId, UsageTotals>> {
        await this.flush();
        const entries = await this.keyValue.list(`${this.prefix}${day}/`);
        const sums = new Map<TeamId, UsageTotals>();
        entries
            .flatMap(entry => JSON.parse(new TextDecoder().decode(entry.value)) as [TeamId, UsageTotals][])
            .forEach(([teamId, totals]) => sums.set(teamId, addUsage(sums.get(teamId) ?? {}, totals)));
        return sums;
    }

    private async run(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            await sleep(this.clock, FLUSH_PERIOD_MS, this.stopController.signal);
            await this.flush();
            this.dropEarlierDays();
        }
    }

    private async flush(): Promise<void> {
        for (const [key, shard] of this.shards) {
            if (shard.isChanged) {
                await this.write(key, shard);
            }
        }
    }

    private async write(key: string, shard: UsageShard): Promise<void> {
        shard.isChanged = false;
        const value = new TextEncoder().encode(JSON.stringify([...shard.totals.entries()]));
        try {
            await this.keyValue.transact([], [{ kind: "put", key, value }]);
        }
        catch (thrown) {
            shard.isChanged = true;
            this.logger.debug("usage-write-failed", { key, error: String(thrown) });
        }
    }

    private dropEarlierDays(): void {
        const today = `${this.prefix}${new Date(this.clock.nowMs()).toISOString().slice(0, DAY_CHARACTERS)}/`;
        [...this.shards.entries()]
            .filter(([key, shard]) => !shard.isChanged && !key.startsWith(today))
            .forEach(([key]) => this.shards.delete(key));
    }
}
