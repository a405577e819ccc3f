import type { Clock } from "@knapweedwood/core.clock/clock";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import type { FollowerContext } from "../src/followerContext.js";

/** Creates what followers share, for tests. */
export function createFollowerContext(
    clock: Clock,
    service: SnapshotKeyValueService,
    logger: Logger = silentLogger,
): FollowerContext {
    const random = new SeededRandom(1);
    return { service, clock, random, logger, watchWaitMs: () => 4000, coalesceMs: () => 0, keepsEntries: true };
}
