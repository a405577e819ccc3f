import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import { CLOCK_MARGIN_MS } from "./clockMarginMs.js";
import { jobKeys } from "./jobKeys.js";
import type { Tombstone } from "./tombstone.js";
import { TOMBSTONE_RETENTION_MS } from "./tombstoneRetentionMs.js";

/** Tombstones removed by one write. More than one, so that their number shrinks after a time of many jobs. */
const MAX_REMOVALS = 16;

/** Removes outdated tombstones along with other writes, so that they cost no write of their own. */
export class TombstoneSweep {
    private readonly service: SnapshotKeyValueService;
    private readonly clock: Clock;
    /** Times of removal by the key of the tombstone, Unix ms; undefined until they are read. */
    private removedAtMs: Map<string, number> | undefined;

    constructor(opts: { service: SnapshotKeyValueService; clock: Clock; }) {
        this.service = opts.service;
        this.clock = opts.clock;
    }

    /** Forgets what was read, because this process has lost leadership. */
    reset(): void {
        this.removedAtMs = undefined;
    }

    /** Returns removals of outdated tombstones for the next write, shape [operations]. */
    async operations(): Promise<KeyValueOperation[]> {
        this.removedAtMs ??= await this.read();
        const outdatedBeforeMs = this.clock.nowMs() - TOMBSTONE_RETENTION_MS - CLOCK_MARGIN_MS;
        return [...this.removedAtMs]
            .filter(([, removedAtMs]) => removedAtMs < outdatedBeforeMs)
            .slice(0, MAX_REMOVALS)
            .map(([key]) => ({ kind: "delete", key }));
    }

    /** Records the operations of a write that succeeded. */
    onWritten(operations: readonly KeyValueOperation[]): void {
        operations.forEach(({ kind, key }) => {
            if (kind === "delete") {
                this.removedAtMs?.delete(key);
            }
            else if (key.startsWith(jobKeys.tombstonesPrefix)) {
                this.removedAtMs?.set(key, this.clock.nowMs());
            }
        });
    }

    private async read(): Promise<Map<string, number>> {
        const { entries } = await this.service.snapshot(jobKeys.tombstonesPrefix);
        return new Map(entries.map(({ key, value }) => [key, decodeRecord<Tombstone>(value).removedAtMs]));
    }
}
