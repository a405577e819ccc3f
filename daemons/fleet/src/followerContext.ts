import type { Clock } from "@knapweedwood/core.clock/clock";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";

/** What everything that follows keys of the key-value service works with. */
export interface FollowerContext {
    service: SnapshotKeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** How long one watch call may wait for a change. */
    watchWaitMs: () => number;
}
