import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { KeyValueEntry } from "./keyValueEntry.js";
import type { SettledTransaction } from "./settledTransaction.js";
import type { SettleTransactionOptions } from "./settleTransactionOptions.js";

const DEFAULT_MAX_RETRIES = 5;
const DEFAULT_RETRY_DELAY_MS = 100;

/**
 * Runs a transaction and, if its response is lost, determines whether it took effect.
 *
 * The same transaction is sent again. It compares the witness key, so at most one attempt takes effect, even if an
 * earlier one arrives late. If a later attempt fails, its result contains the witness value that the earlier one wrote.
 *
 * Rejects with the service's error if no attempt had any effect.
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

/** Returns a test of whether the transaction itself wrote an entry. */
function createWitnessTest(opts: SettleTransactionOptions): (entry: KeyValueEntry) => boolean {
    const compare = opts.compares.find(candidate => candidate.key === opts.witnessKey);
    const operation = opts.operations.find(candidate => candidate.key === opts.witnessKey);
    if (compare === undefined || operation?.kind !== "put") {
        throw new KnapweedError("KEY_VALUE_INVALID", "The transaction must compare and put the witness key.", {
            outcome: "not-run",
        });
    }
    const value = Buffer.from(operation.value);
    return entry =>
        entry.key === opts.witnessKey && entry.modRevision !== compare.modRevision && value.equals(entry.value);
}

function hasUnknownOutcome(error: unknown): boolean {
    return !(error instanceof KnapweedError) || error.outcome !== "not-run";
}
