import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

const DEFAULT_LAG_MS = 1000;
const DEFAULT_TTL_MS = 10_000;

interface RecordChange {
    atMs: number;
    /** Undefined if the instance was withdrawn. */
    record: InstanceRecord | undefined;
}

/** An in-memory instance list. A change becomes visible `lagMs` after it was made. */
export class MemoryInstanceList implements InstanceList {
    /** Age of the state that `list` returns. The owner can change it at any time. */
    lagMs: number;
    /** Time since its last announcement after which an instance is no longer listed. */
    ttlMs: number;
    private readonly clock: Clock;
    private readonly changes = new Map<InstanceId, RecordChange[]>();

    constructor(opts: { clock: Clock; lagMs?: number; ttlMs?: number; }) {
        this.clock = opts.clock;
        this.lagMs = opts.lagMs ?? DEFAULT_LAG_MS;
        this.ttlMs = opts.ttlMs ?? DEFAULT_TTL_MS;
    }

    list(): Promise<InstanceRecord[]> {
        const visibleAtMs = this.clock.nowMs() - this.lagMs;
        this.pruneChanges(visibleAtMs);
        const records = [...this.changes.values()].flatMap(changes => this.recordAt(changes, visibleAtMs) ?? []);
        return Promise.resolve(records);
    }

    announce(record: InstanceRecord): Promise<void> {
        this.addChange(record.instanceId, { ...record });
        return Promise.resolve();
    }

    withdraw(instanceId: InstanceId): Promise<void> {
        this.addChange(instanceId, undefined);
        return Promise.resolve();
    }

    private addChange(instanceId: InstanceId, record: InstanceRecord | undefined): void {
        const changes = this.changes.get(instanceId) ?? [];
        this.changes.set(instanceId, [...changes, { atMs: this.clock.nowMs(), record }]);
    }

    private recordAt(changes: RecordChange[], visibleAtMs: number): InstanceRecord | undefined {
        const visible = changes.findLast(change => change.atMs <= visibleAtMs);
        return visible !== undefined && visibleAtMs - visible.atMs < this.ttlMs ? visible.record : undefined;
    }

    /** Removes changes that a later visible change has replaced, and instances whose time to live has passed. */
    private pruneChanges(visibleAtMs: number): void {
        this.changes.forEach((changes, instanceId) => {
            const visibleIndex = changes.findLastIndex(change => change.atMs <= visibleAtMs);
            const kept = visibleIndex > 0 ? changes.slice(visibleIndex) : changes;
            const isExpired = kept.every(change => visibleAtMs - change.atMs >= this.ttlMs);
            if (isExpired) {
                this.changes.delete(instanceId);
            }
            else {
                this.changes.set(instanceId, kept);
            }
        });
    }
}
