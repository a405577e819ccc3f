import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Suspicion } from "@knapweedwood/fleet.quarantine/suspicion";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const RETRY_DELAY_MS = 1000;
/** Suspicions per write; the key-value service accepts 32 entries. */
const MAX_ENTRIES = 30;

/** Writes the begin and the end of quarantines to the key-value service, where restarted processes find them. */
export class SuspicionStore {
    private readonly opts: { service: KeyValueService; clock: Clock; logger: Logger; };
    /** The newest suspicion of each key that is not written yet; undefined where the key is to be removed. */
    private readonly pending = new Map<string, Suspicion | undefined>();
    private isWriting = false;

    constructor(opts: { service: KeyValueService; clock: Clock; logger: Logger; }) {
        this.opts = opts;
    }

    /** Writes a suspicion. Retries until it is written or replaced by a newer one of the same part. */
    write(suspicion: Suspicion): void {
        this.pending.set(fleetKeys.suspicion(suspicion.service, suspicion.part), suspicion);
        void this.writePending();
    }

    /** Removes the suspicion of a part or request. Retries like `write`. */
    remove({ service, part }: Suspicion): void {
        this.pending.set(fleetKeys.suspicion(service, part), undefined);
        void this.writePending();
    }

    private async writePending(): Promise<void> {
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        const written = [...this.pending].slice(0, MAX_ENTRIES);
        try {
            await this.opts.service.transact(
                [],
                written.map(([key, suspicion]) =>
                    suspicion === undefined
                        ? { kind: "delete", key }
                        : { kind: "put", key, value: encodeRecord(suspicion) }
                ),
            );
            written
                .filter(([key, suspicion]) => this.pending.get(key) === suspicion)
                .forEach(([key]) => this.pending.delete(key));
        }
        catch (thrown) {
            this.opts.logger.info("suspicion-not-stored", { code: toKnapweedError(thrown).code });
        }
        this.isWriting = false;
        if (this.pending.size > 0) {
            this.opts.clock.setTimer(RETRY_DELAY_MS, () => void this.writePending());
        }
    }
}
