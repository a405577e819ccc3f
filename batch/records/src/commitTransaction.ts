import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { TransactionResult } from "@knapweedwood/core.key-value/transactionResult";
import type { Random } from "@knapweedwood/core.random/random";

const RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2000;
const DEFAULT_MAX_ATTEMPTS = 8;

interface CommitOptions {
    keyValue: KeyValueService;
    clock: Clock;
    random: Random;
    compares: KeyValueCompare[];
    /** The first put is the witness: its value must differ from any other write of that key. */
    operations: KeyValueOperation[];
    /** How often a write whose answer was lost is settled before the outcome is given up as unknown. */
    maxAttempts?: number;
}

/**
 * Applies a transaction and settles a lost answer by reading: the transaction took effect where the witness key
 * holds the value that was put. Where it did not, the same transaction is sent again, which its comparisons make safe.
 *
 * Throws `KEY_VALUE_UNAVAILABLE` (`not-run`) where it provably had no effect, `KEY_VALUE_ANSWER_LOST` (`unknown`)
 * where that could not be settled.
 */
export async function commitTransaction(opts: CommitOptions): Promise<TransactionResult> {
    let lostResponse: KnapweedError | undefined;
    const maxAttempts = opts.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        try {
            const result = await opts.keyValue.transact(opts.compares, opts.operations);
            return result.succeeded || lostResponse === undefined ? result : await checkEarlierAttempt(opts, result);
        }
        catch (error) {
            if (!(error instanceof KnapweedError) || (error.outcome !== "unknown" && lostResponse === undefined)) {
                throw error;
            }
            lostResponse = error.outcome === "unknown" ? error : lostResponse;
        }
        const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** attempt);
        await sleep(opts.clock, maxDelayMs * (0.5 + opts.random.next() / 2));
    }
    throw lostResponse
        ?? new KnapweedError("KEY_VALUE_ANSWER_LOST", "The write could not be settled", { outcome: "unknown" });
}

/** A repeated transaction failed its comparisons: perhaps because the first one had taken effect. */
async function checkEarlierAttempt(opts: CommitOptions, failed: TransactionResult): Promise<TransactionResult> {
    const marker = opts.operations.find(operation => operation.kind === "put");
    if (marker === undefined || marker.kind !== "put") {
        return failed;
    }
    const entry = failed.current.find(current => current.key === marker.key) ?? await opts.keyValue.get(marker.key);
    const tookEffect = entry !== undefined && Buffer.compare(entry.value, marker.value) === 0;
    return tookEffect ? { succeeded: true, revision: entry.modRevision, current: [] } : failed;
}
