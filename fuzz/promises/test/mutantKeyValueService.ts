import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { TransactionResult } from "@knapweedwood/core.key-value/transactionResult";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";

interface Mutation {
    /** Drops the comparisons of keys that contain one of these. */
    dropsCompares?: string[];
    /** Removes the lease from the puts of keys that contain this. */
    dropsLeases?: string;
    /** The outcome reported in place of an unknown one. */
    assumedOutcome?: "not-run" | "succeeded";
    /** Reports a transaction on keys that contain this as succeeded without running it. */
    skipsWrites?: string;
}

/** A key-value service that drops, changes or misreports transactions. It simulates a component with a fault. */
export class MutantKeyValueService implements KeyValueService {
    private readonly service: KeyValueService;
    private readonly mutation: Mutation;

    constructor(service: KeyValueService, mutation: Mutation) {
        this.service = service;
        this.mutation = mutation;
    }

    get(key: string): Promise<KeyValueEntry | undefined> {
        return this.service.get(key);
    }

    list(...parameters: Parameters<KeyValueService["list"]>): Promise<KeyValueEntry[]> {
        return this.service.list(...parameters);
    }

    async transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): Promise<TransactionResult> {
        const { dropsCompares = [], dropsLeases, assumedOutcome, skipsWrites } = this.mutation;
        const keptCompares = compares.filter(compare => !dropsCompares.some(part => compare.key.includes(part)));
        const changedOperations = operations.map(operation =>
            operation.kind === "put" && dropsLeases !== undefined && operation.key.includes(dropsLeases)
                ? { ...operation, leaseId: undefined }
                : operation
        );
        if (skipsWrites !== undefined && operations.some(operation => operation.key.includes(skipsWrites))) {
            return { succeeded: true, revision: 1, current: [] };
        }
        try {
            return await this.service.transact(keptCompares, changedOperations);
        }
        catch (error) {
            if (assumedOutcome === undefined || !(error instanceof KnapweedError) || error.outcome !== "unknown") {
                throw error;
            }
            if (assumedOutcome === "succeeded") {
                return { succeeded: true, revision: 1, current: [] };
            }
            throw new KnapweedError(
                "KEY_VALUE_UNAVAILABLE",
                "The response was lost; the mutant assumes that the write has not run",
                { outcome: "not-run" },
            );
        }
    }

    grantLease(ttlMs: number): Promise<string> {
        return this.service.grantLease(ttlMs);
    }

    keepLeaseAlive(leaseId: string): Promise<number> {
        return this.service.keepLeaseAlive(leaseId);
    }

    revokeLease(leaseId: string): Promise<void> {
        return this.service.revokeLease(leaseId);
    }

    watch(prefix: string, opts: { afterRevision: number; signal: AbortSignal; }): AsyncIterable<WatchBatch> {
        return this.service.watch(prefix, opts);
    }
}
