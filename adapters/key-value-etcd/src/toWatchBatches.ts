import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { decodeBytes } from "./decodeBytes.js";
import type { EtcdEvent } from "./etcdEvent.js";
import { toEntry } from "./toEntry.js";

/**
 * Groups the events of one message by revision.
 *
 * @returns the batches in ascending order of revision, shape [batches]
 */
export function toWatchBatches(events: EtcdEvent[]): WatchBatch[] {
    const byRevision = new Map<number, WatchBatch>();
    events.forEach(event => {
        const revision = Number(event.kv.mod_revision ?? 0);
        const batch = byRevision.get(revision) ?? { revision, puts: [], deletedKeys: [] };
        byRevision.set(revision, batch);
        if (event.type === "DELETE") {
            batch.deletedKeys.push(decodeBytes(event.kv.key).toString());
        }
        else {
            batch.puts.push(toEntry(event.kv));
        }
    });
    return [...byRevision.values()].sort((left, right) => left.revision - right.revision);
}
