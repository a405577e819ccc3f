import type { Clock } from "@knapweedwood/core.clock/clock";
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import type { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import type { RequestQuarantine } from "@knapweedwood/fleet.quarantine/requestQuarantine";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import type { UpstreamRequestLimiter } from "@knapweedwood/fleet.upstream-limits/upstreamRequestLimiter";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { UpstreamDirectory } from "@knapweedwood/fleet.view/upstreamDirectory";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { HeldJob } from "./heldJob.js";
import type { ItemRunHeaders } from "./itemRunHeaders.js";

/** Options of a {@link JobRunner}. */
export interface JobRunnerOptions {
    service: SnapshotKeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    leadership: FencedLeadership;
    configuration: ActiveConfiguration;
    /** Makes the stored configuration the active one. Resolves to whether the active one is certain to be current. */
    refreshConfiguration: () => Promise<boolean>;
    directory: UpstreamDirectory;
    connections: UpstreamConnections;
    loadTracker: LoadTracker;
    health: UpstreamHealth;
    /** The learned speeds; undefined if all upstreams count as equally fast. */
    speeds?: UpstreamSpeeds;
    /** The limits that upstreams have named; undefined if none of them counts. */
    limits?: Pick<UpstreamRequestLimiter, "limitOf" | "mayRunItem">;
    headers: ItemRunHeaders;
    /** Decodes the parts of a prompt that other requests may share from the header that lists them, shape [parts]. */
    decodeSharedPromptParts: (value: string | undefined) => PromptPartId[];
    quarantine: RequestQuarantine;
    /** Returns how long an ended job stays readable after its acceptance, in milliseconds. */
    resultRetentionMs: () => number;
    /** Returns the age at which the mirror of jobs is checked, in milliseconds. It isn't checked without this. */
    jobsMaxAgeMs?: () => number;
    /** Whether other calls of this process reach the key-value service. Default true. */
    isServiceReachable?: () => boolean;
    onLoadChanged: () => void;
    /** Returns the jobs on this instance's disk that are not in the key-value service yet, shape [jobs]. */
    heldJobs: () => HeldJob[];
    /**
     * Collects the held jobs of the other runners. `isComplete` tells whether every accepted one is certain to be among
     * them and those of this instance.
     */
    collectHeldJobs: (fencingNumber: number) => Promise<{ jobs: HeldJob[]; isComplete: boolean; }>;
}
