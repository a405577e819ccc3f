import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { isInvalidCall } from "@knapweedwood/core.key-value/isInvalidCall";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Suspicion } from "@knapweedwood/fleet.quarantine/suspicion";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { rebaseSuspicionChange } from "./rebaseSuspicionChange.js";
import type { SuspicionChange } from "./suspicionChange.js";

const RETRY_DELAY_MS = 1000;
/** Changes per write, each with a comparison; the key-value service accepts 32 entries. */
const MAX_CHANGES = 16;
/** Number of conflicts after which a change is given up. Each stored the newer suspicion of another process. */
const MAX_CONFLICTS = 5;

interface SuspicionStoreOptions {
    service: KeyValueService;
    clock: Clock;
    logger: Logger;
    /** Returns the stored entry that this process has read last; undefined if it has read none. */
    knownEntry: (key: string) => KeyValueEntry | undefined;
}

/**
 * Writes the begin and the end of quarantines to the key-value service, where restarted processes find them. A write
 * replaces only the entry that this process knew, so that one that arrives late replaces no newer entry.
 */
export class SuspicionStore {
    private readonly opts: SuspicionStoreOptions;
    /** The newest change of each key that is not written yet. */
    private readonly pending = new Map<string, SuspicionChange>();
    private isWriting = false;
    /** Whether the service has rejected the last write for what it contains, so that the next one has a single change. */
    private hasRejected = false;

    constructor(opts: SuspicionStoreOptions) {
        this.opts = opts;
    }

    /** Writes a suspicion. Retries until it is written, part of a newer entry, or replaced by a newer one of the same part. */
    write(suspicion: Suspicion): void {
        this.add("put", suspicion);
    }

    /** Removes the suspicion of a part or request, unless another process has stored a newer one. Retries like `write`. */
    remove(suspicion: Suspicion): void {
        this.add("delete", suspicion);
    }

    private add(kind: SuspicionChange["kind"], suspicion: Suspicion): void {
        const key = fleetKeys.suspicion(suspicion.service, suspicion.part);
        const replacedRevision = this.opts.knownEntry(key)?.modRevision ?? 0;
        this.pending.set(key, { kind, suspicion, replacedRevision, conflicts: 0 });
        void this.writePending();
    }

    private async writePending(): Promise<void> {
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        const changes = [...this.pending].slice(0, this.hasRejected ? 1 : MAX_CHANGES);
        try {
            await this.transact(changes);
            this.hasRejected = false;
        }
        catch (thrown) {
            this.onFailed(changes, toKnapweedError(thrown));
        }
        this.isWriting = false;
        if (this.pending.size > 0) {
            this.opts.clock.setTimer(RETRY_DELAY_MS, () => void this.writePending());
        }
    }

    /** Gives up a change that the service rejects by itself. A rejected write of several is divided. */
    private onFailed(changes: readonly [string, SuspicionChange][], error: KnapweedError): void {
        this.opts.logger.info("suspicion-not-stored", { code: error.code, changes: changes.length });
        this.hasRejected = isInvalidCall(error);
        if (this.hasRejected && changes.length === 1) {
            this.pending.delete(changes[0]![0]);
        }
    }

    private async transact(changes: readonly [string, SuspicionChange][]): Promise<void> {
        const { succeeded, current } = await this.opts.service.transact(
            changes.map(([key, { replacedRevision }]) => ({ key, modRevision: replacedRevision })),
            changes.map(([key, change]) => operationOf(key, change)),
        );
        if (succeeded) {
            changes
                .filter(([key, change]) => this.pending.get(key) === change)
                .forEach(([key]) => this.pending.delete(key));
            return;
        }
        changes.forEach(([key, change]) => this.review(key, change, current.find(entry => entry.key === key)));
    }

    /** Rebases the pending change of a key after a write that failed, if its entry was the reason. */
    private review(key: string, written: SuspicionChange, current: KeyValueEntry | undefined): void {
        const pending = this.pending.get(key);
        if (pending === undefined || written.replacedRevision === (current?.modRevision ?? 0)) {
            return;
        }
        const rebased = rebaseSuspicionChange(pending, current);
        if (rebased === undefined || rebased.conflicts > MAX_CONFLICTS) {
            this.opts.logger.info("suspicion-superseded", { key, conflicts: pending.conflicts + 1 });
            this.pending.delete(key);
            return;
        }
        this.pending.set(key, rebased);
    }
}

function operationOf(key: string, { kind, suspicion }: SuspicionChange): KeyValueOperation {
    return kind === "delete" ? { kind, key } : { kind, key, value: encodeRecord(suspicion) };
}
