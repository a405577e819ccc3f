import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";

/** Options of a {@link PrefixMirror}. */
export interface PrefixMirrorOptions {
    service: SnapshotKeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    prefix: string;
    /** How long one watch call may wait: the longer, the fewer calls, and the later a silent connection shows. */
    watchWaitMs?: () => number;
    /** How long changes are gathered, so that one call brings several; none where each is urgent. */
    coalesceMs?: number;
    /** All entries under the prefix; entries known before and not listed are gone. */
    onSnapshot(entries: KeyValueEntry[], revision: number): void;
    /** Changes since the snapshot or the last change. */
    onChange(batch: WatchBatch): void;
    /** Called when the service answers again after a failure. */
    onRecovered?(): void;
}
