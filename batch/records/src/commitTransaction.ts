import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { TransactionResult } from "@knapweedwood/core.key-value/transactionResult";
import type { Random } from "@knapweedwood/core.random/random";

const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2000;
const DEFAULT_MAX_ATTEMPTS = 8;

interface CommitOptions {
    keyValue: KeyValueService;
    clock: Clock;
    random: Random;
    compares: KeyValueCompare[];
    /** The first put is the marker: its value must differ from that of any other write of the same key. */
    operations: KeyValueOperation[];
    /** How often the transaction is sent while responses are lost, before its outcome is reported as unknown. */
    maxAttempts?: number;
}

/**
 * Applies a transaction. After a lost response, sends the same transaction again; its comparisons make that safe. If
 * the repeated transaction fails its comparisons, reads the marker key: an earlier attempt took effect if the key holds
 * the value that was put.
 *
 * Rejects with `KEY_VALUE_UNAVAILABLE` (outcome `not-run`) if the transaction provably had no effect, and with
 * `KEY_VALUE_ANSWER_LOST` (outcome `unknown`) if that could not be determined.
 */
export async function commitTransaction(opts: CommitOptions): Promise<TransactionResult> {
    let lostResponseError: KnapweedError | undefined;
    const maxAttempts = opts.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        try {
            const result = await opts.keyValue.transact(opts.compares, opts.operations);
            return result.succeeded || lostResponseError === undefined
                ? result
                : await checkEarlierAttempt(opts, result);
        }
        catch (error) {
            if (!(error instanceof KnapweedError) || (error.outcome !== "unknown" && lostResponseError === undefined)) {
                throw error;
            }
            lostResponseError = error.outcome === "unknown" ? error : lostResponseError;
        }
        const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** attempt);
        await sleep(opts.clock, maxDelayMs * (0.5 + opts.random.next() / 2));
    }
    throw lostResponseError
        ?? new KnapweedError("KEY_VALUE_ANSWER_LOST", "Could not determine whether the write took effect", {
            outcome: "unknown",
        });
}

/** Checks whether a repeated transaction failed its comparisons because an earlier attempt had taken effect. */
async function checkEarlierAttempt(opts: CommitOptions, failed: TransactionResult): Promise<TransactionResult> {
    const marker = opts.operations.find(operation => operation.kind === "put");
    if (marker === undefined || marker.kind !== "put") {
        return failed;
    }
    const entry = failed.current.find(current => current.key === marker.key) ?? await opts.keyValue.get(marker.key);
    const tookEffect = entry !== undefined && Buffer.compare(entry.value, marker.value) === 0;
    return tookEffect ? { succeeded: true, revision: entry.modRevision, current: [] } : failed;
}
