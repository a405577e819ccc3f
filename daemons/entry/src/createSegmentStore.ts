import { FolderSegmentStore } from "@knapweedwood/batch.segments/folderSegmentStore";
import { KeyValueSegmentStore } from "@knapweedwood/batch.segments/keyValueSegmentStore";
import { registerSegmentHandlers } from "@knapweedwood/batch.segments/registerSegmentHandlers";
import { ReplicatedSegmentStore } from "@knapweedwood/batch.segments/replicatedSegmentStore";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { InstanceWatcher } from "@knapweedwood/routing.instance-watch/instanceWatcher";
import type { EntryProcessOptions } from "./entryProcessOptions.js";

/**
 * Creates the segment store selected in the settings. An entry with a data folder that uses the replicated store also
 * stores segments for other entries.
 */
export async function createSegmentStore(
    opts: EntryProcessOptions & { endpoint: LinkEndpoint; watcher: InstanceWatcher; },
): Promise<SegmentStore> {
    const { settings, endpoint, watcher } = opts;
    if (settings.batch.segmentStore === "key-value") {
        return new KeyValueSegmentStore(opts);
    }
    const local = settings.dataFolder === undefined
        ? undefined
        : new FolderSegmentStore({ dataFolder: settings.dataFolder });
    if (local !== undefined) {
        await local.prepare();
        registerSegmentHandlers({ endpoint, store: local });
    }
    return new ReplicatedSegmentStore({
        instanceId: endpoint.identity.instanceId,
        endpoint,
        local,
        holders: () =>
            watcher.current()
                .filter(record => record.kind === "entry" && record.state === "live" && record.hasDataFolder)
                .map(({ instanceId, zone, address }) => ({ instanceId, zone, address })),
    });
}
