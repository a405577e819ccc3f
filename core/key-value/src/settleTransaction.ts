import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { KeyValueEntry } from "./keyValueEntry.js";
import type { SettledTransaction } from "./settledTransaction.js";
import type { SettleTransactionOptions } from "./settleTransactionOptions.js";

const DEFAULT_MAX_RETRIES = 5;
const DEFAULT_RETRY_DELAY_MS = 100;

/**
 * Makes a transaction and, where its answer is lost, settles what became of it.
 *
 * The transaction is sent again as it is: because it compares the witness, at most one attempt takes effect, even
 * where an earlier one arrives late; and the failure of a later one shows the witness as the earlier one wrote it.
 *
 * Throws the service's error where no attempt had any effect.
 */
export async function settleTransaction(opts: SettleTransactionOptions): Promise<SettledTransaction> {
    const isWitness = createWitnessTest(opts);
    let mayHaveRun = false;
    for (let retry = 0; retry <= (opts.maxRetries ?? DEFAULT_MAX_RETRIES); retry += 1) {
        try {
            const result = await opts.service.transact(opts.compares, opts.operations);
            if (result.succeeded) {
                return { kind: "succeeded", revision: result.revision };
            }
            return settledFailure(result.current, mayHaveRun, isWitness);
        }
        catch (error) {
            if (!hasUnknownOutcome(error) && !mayHaveRun) {
                throw error;
            }
            mayHaveRun = true;
        }
        await sleep(opts.clock, opts.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS);
    }
    return { kind: "unknown" };
}

function settledFailure(
    current: KeyValueEntry[],
    mayHaveRun: boolean,
    isWitness: (entry: KeyValueEntry) => boolean,
): SettledTransaction {
    const witness = current.find(isWitness);
    if (witness !== undefined) {
        return { kind: "succeeded", revision: witness.modRevision };
    }
    return mayHaveRun ? { kind: "unknown" } : { kind: "failed", current };
}

/** Tells whether an entry is what the transaction itself wrote. */
function createWitnessTest(opts: SettleTransactionOptions): (entry: KeyValueEntry) => boolean {
    const compare = opts.compares.find(candidate => candidate.key === opts.witnessKey);
    const operation = opts.operations.find(candidate => candidate.key === opts.witnessKey);
    if (compare === undefined || operation?.kind !== "put") {
        throw new KnapweedError("KEY_VALUE_INVALID", "The witness must be compared and put.", { outcome: "not-run" });
    }
    const value = Buffer.from(operation.value);
    return entry =>
        entry.key === opts.witnessKey && entry.modRevision !== compare.modRevision && value.equals(entry.value);
}

function hasUnknownOutcome(error: unknown): boolean {
    return !(error instanceof KnapweedError) || error.outcome !== "not-run";
}
