import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import type { RunnerRecord } from "./runnerRecord.js";

/**
 * The runners whose disks may contain held jobs, also while they have no process. After a loss of all power the entries
 * of the processes have expired with their leases, and only these records tell which disks are missing.
 */
export class RunnerRecords {
    private readonly records = new Map<string, RunnerRecord>();

    /** Returns all records, shape [runners]. */
    all(): RunnerRecord[] {
        return [...this.records.values()];
    }

    /** Replaces all records by those in `entries`, which may contain other keys. */
    replace(entries: readonly KeyValueEntry[]): void {
        this.records.clear();
        entries.forEach(entry => this.put(entry));
    }

    /** Applies a change, which may contain other keys. */
    apply({ puts, deletedKeys }: WatchBatch): void {
        deletedKeys.forEach(key => this.records.delete(key));
        puts.forEach(entry => this.put(entry));
    }

    private put({ key, value, modRevision }: KeyValueEntry): void {
        if (key.startsWith(fleetKeys.runnersPrefix)) {
            this.records.set(key, { member: decodeRecord(value), modRevision });
        }
    }
}
