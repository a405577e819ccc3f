import type { JobManifest } from "@knapweedwood/batch.jobs/jobManifest";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import type { StoredRecord } from "@knapweedwood/batch.records/storedRecord";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";
import type { ServiceLookup } from "./serviceLookup.js";

/** Options of {@link JobRun}. */
export interface JobRunOptions {
    manifest: JobManifest;
    progress: StoredRecord<JobProgress>;
    segmentStore: SegmentStore;
    services: ServiceLookup;
    clock: Clock;
    random: Random;
}
