import type { Clock } from "@knapweedwood/core.clock/clock";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";

/** Services and settings shared by all followers of keys in the key-value service. */
export interface FollowerContext {
    service: SnapshotKeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Returns the mean time for which one watch call waits for a change, in milliseconds. */
    watchWaitMs: () => number;
    /** Returns the time for which changes that aren't urgent are gathered, in milliseconds. */
    coalesceMs: () => number;
    /** Returns how much later than others this process checks its mirrors, in milliseconds. Default 0. */
    checkDelayMs?: () => number;
    /** Called when the service has answered a check. */
    onChecked?: () => void;
    /** Whether other calls of this process reach the service. Default true. */
    isServiceReachable?: () => boolean;
    /** The entries are kept for processes that start during an outage. */
    keepsEntries: true;
}
