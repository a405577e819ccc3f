import { CallersApi } from "@knapweedwood/api.callers/callersApi";
import { OperatorsApi } from "@knapweedwood/api.operators/operatorsApi";
import { cancelJobNotification } from "@knapweedwood/batch.items/cancelJobNotification";
import { KeyValueBatchService } from "@knapweedwood/batch.jobs/keyValueBatchService";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { ClaimedCalls } from "./claimedCalls.js";
import { createDispatcher } from "./createDispatcher.js";
import { EntryHttp } from "./entryHttp.js";
import type { EntryParts } from "./entryParts.js";
import { LinkedFleet } from "./linkedFleet.js";
import type { SharedRoles } from "./sharedRoles.js";
import type { TeamMeter } from "./teamMeter.js";
import type { UpstreamDirectory } from "./upstreamDirectory.js";

/** Both APIs of an entry. */
export function createEntryHttp(
    parts: EntryParts,
    opts: {
        segmentStore: SegmentStore;
        directory: UpstreamDirectory;
        publisher: ConfigurationPublisher;
        roles: SharedRoles;
        meter: TeamMeter;
        isReady: () => boolean;
    },
): EntryHttp {
    const { settings, endpoint, configuration, logger } = parts;
    const batches = new KeyValueBatchService({
        ...parts,
        segmentStore: opts.segmentStore,
        onCancelled: jobId => endpoint.links().forEach(link => link.notify(cancelJobNotification, { jobId })),
    });
    const callersApi = new CallersApi({
        ...parts,
        backend: createDispatcher(parts, opts.directory),
        batches,
        admission: opts.meter.admission,
        idempotentCalls: new ClaimedCalls({ claims: opts.roles.claims, logger }),
        maxBodyBytes: settings.http.maxBodyBytes,
        maxFileBytes: settings.http.maxFileBytes,
    });
    const operatorsApi = new OperatorsApi({
        ...parts,
        publisher: opts.publisher,
        jobs: batches,
        fleet: new LinkedFleet({ ...parts, directory: opts.directory }),
        usage: opts.meter.usage,
    });
    return new EntryHttp({ callersApi, operatorsApi, configuration, isReady: opts.isReady });
}
