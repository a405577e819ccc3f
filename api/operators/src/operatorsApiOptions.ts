import type { BatchService } from "@knapweedwood/batch.jobs/batchService";
import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import type { ActiveRevisionReport } from "@knapweedwood/config.distribution/activeRevisionReport";
import type { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { FleetView } from "./fleetView.js";
import type { UsageView } from "./usageView.js";

/** Dependencies of {@link OperatorsApi}. */
export interface OperatorsApiOptions {
    publisher: ConfigurationPublisher;
    /** The configuration that is active in this process, and the number of processes where it is active. */
    configuration: ConfigurationSource & {
        inForce(revision?: Revision): Promise<ActiveRevisionReport>;
        waitFor(revision: Revision, opts: { timeoutMs: number; }): Promise<boolean>;
    };
    jobs: BatchService;
    fleet: FleetView;
    /** Undefined if usage is not metered. */
    usage: UsageView | undefined;
    clock: Clock;
    logger: Logger;
}
