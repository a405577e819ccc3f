import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

const DEFAULT_LAG_MS = 1000;
const DEFAULT_TTL_MS = 10_000;

interface InstanceChange {
    atMs: number;
    /** Undefined where the instance was withdrawn. */
    record: InstanceRecord | undefined;
}

/** An instance list in memory that shows the past: changes are seen `lagMs` after they were made. */
export class MemoryInstanceList implements InstanceList {
    /** Age of the state that `list` shows. Changed at any time by the owner. */
    lagMs: number;
    /** Instances that were not announced for this long are no longer listed. */
    ttlMs: number;
    private readonly clock: Clock;
    private readonly changes = new Map<InstanceId, InstanceChange[]>();

    constructor(opts: { clock: Clock; lagMs?: number; ttlMs?: number; }) {
        this.clock = opts.clock;
        this.lagMs = opts.lagMs ?? DEFAULT_LAG_MS;
        this.ttlMs = opts.ttlMs ?? DEFAULT_TTL_MS;
    }

    list(): Promise<InstanceRecord[]> {
        const shownMs = this.clock.nowMs() - this.lagMs;
        this.forgetBefore(shownMs);
        const records = [...this.changes.values()].flatMap(changes => this.recordAt(changes, shownMs) ?? []);
        return Promise.resolve(records);
    }

    announce(record: InstanceRecord): Promise<void> {
        this.add(record.instanceId, { ...record });
        return Promise.resolve();
    }

    withdraw(instanceId: InstanceId): Promise<void> {
        this.add(instanceId, undefined);
        return Promise.resolve();
    }

    private add(instanceId: InstanceId, record: InstanceRecord | undefined): void {
        const changes = this.changes.get(instanceId) ?? [];
        this.changes.set(instanceId, [...changes, { atMs: this.clock.nowMs(), record }]);
    }

    private recordAt(changes: InstanceChange[], shownMs: number): InstanceRecord | undefined {
        const shown = changes.findLast(change => change.atMs <= shownMs);
        return shown !== undefined && shownMs - shown.atMs < this.ttlMs ? shown.record : undefined;
    }

    /** Drops changes that later ones have replaced in what is shown. */
    private forgetBefore(shownMs: number): void {
        this.changes.forEach((changes, instanceId) => {
            const shownIndex = changes.findLastIndex(change => change.atMs <= shownMs);
            const kept = shownIndex > 0 ? changes.slice(shownIndex) : changes;
            const isGone = kept.every(change => shownMs - change.atMs >= this.ttlMs);
            if (isGone) {
                this.changes.delete(instanceId);
            }
            else {
                this.changes.set(instanceId, kept);
            }
        });
    }
}
