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
    /** Mean wait of one watch call, in milliseconds. Longer waits mean fewer calls. */
    watchWaitMs?: () => number;
    /**
     * Returns the age at which the mirror asks the service for changes that its watch should have delivered, in milliseconds.
     * Without it a watch that has gone silent is noticed only when its wait ends.
     */
    maxAgeMs?: () => number;
    /** Returns how much later this process asks, in milliseconds, so that of several processes one asks. Default 0. */
    checkDelayMs?: () => number;
    /** Called when the service has answered a check, so that other processes can be told. */
    onChecked?: () => void;
    /**
     * Whether other calls of this process reach the service. If they do, the failure of a watch tells nothing about the
     * service. Default true.
     */
    isServiceReachable?: () => boolean;
    /** Returns the pause after a change, in milliseconds, so that one call delivers several. Default 0, for urgent changes. */
    coalesceMs?: () => number;
    /** Whether the mirror keeps the entries for {@link PrefixMirror.entries}. Default false, for large entries. */
    keepsEntries?: boolean;
    /** Reduces an entry to what processes use of it, before it is kept and handed on. */
    compact?: (entry: KeyValueEntry) => KeyValueEntry;
    /** Called with all entries under the prefix. Earlier entries that are not among them were deleted. */
    onSnapshot(entries: KeyValueEntry[], revision: number): void;
    /** Called with the changes since the snapshot or the previous call. */
    onChange(batch: WatchBatch): void;
    /** Called when the service responds again after a failure. */
    onRecovered?(): void;
}
