import { CallersApi } from "@knapweedwood/api.callers/callersApi";
import { OperatorsApi } from "@knapweedwood/api.operators/operatorsApi";
import { cancelJobNotification } from "@knapweedwood/batch.items/cancelJobNotification";
import { KeyValueBatchService } from "@knapweedwood/batch.jobs/keyValueBatchService";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { ClaimedCalls } from "./claimedCalls.js";
import { createDispatcher } from "./createDispatcher.js";
import type { EntryComponents } from "./entryComponents.js";
import { EntryHttpHandler } from "./entryHttpHandler.js";
import { LinkedFleet } from "./linkedFleet.js";
import type { SharedRoles } from "./sharedRoles.js";
import type { SideDirectory } from "./sideDirectory.js";
import type { TeamMeter } from "./teamMeter.js";

/** Creates the HTTP handler of an entry, which serves the callers' API and the operators' API. */
export function createEntryHttpHandler(
    components: EntryComponents,
    opts: {
        segmentStore: SegmentStore;
        directory: SideDirectory;
        publisher: ConfigurationPublisher;
        roles: SharedRoles;
        teamMeter: TeamMeter;
        isReady: () => boolean;
    },
): EntryHttpHandler {
    const { settings, endpoint, configuration, logger } = components;
    const batches = new KeyValueBatchService({
        ...components,
        segmentStore: opts.segmentStore,
        onCancelled: jobId => endpoint.links().forEach(link => link.notify(cancelJobNotification, { jobId })),
    });
    const callersApi = new CallersApi({
        ...components,
        backend: createDispatcher(components, opts.directory),
        batches,
        admission: opts.teamMeter.admission,
        idempotentCalls: new ClaimedCalls({ claims: opts.roles.claims, logger }),
        maxBodyBytes: settings.http.maxBodyBytes,
        maxFileBytes: settings.http.maxFileBytes,
    });
    const operatorsApi = new OperatorsApi({
        ...components,
        publisher: opts.publisher,
        jobs: batches,
        fleet: new LinkedFleet({ ...components, directory: opts.directory }),
        usage: opts.teamMeter.usage,
    });
    return new EntryHttpHandler({ callersApi, operatorsApi, configuration, isReady: opts.isReady });
}
