import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { answerLostError } from "@knapweedwood/core.key-value/answerLostError";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueSnapshot } from "@knapweedwood/core.key-value/keyValueSnapshot";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { TransactionResult } from "@knapweedwood/core.key-value/transactionResult";
import { unavailableError } from "@knapweedwood/core.key-value/unavailableError";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import type { Random } from "@knapweedwood/core.random/random";
import type { ProcessClock } from "./processClock.js";

/** Time after which a call without a response fails, in milliseconds. */
const CALL_TIMEOUT_MS = 1000;
const MAX_WRITE_DELAY_MS = 20;
const POLL_INTERVAL_MS = 50;

/**
 * The key-value service as one start of a simulated process uses it. A call that was sent takes effect even if the
 * process is frozen or dead by then; its response waits until the process runs.
 */
export class SimulatedConnection implements SnapshotKeyValueService {
    /** With `rejected` calls fail at once; with `silent` they get no response and have no effect. */
    state: "connected" | "rejected" | "silent" = "connected";
    /** Longest time that the response to a read takes, in milliseconds. */
    maxReadDelayMs = 20;
    /** Number of transactions to come that take effect but lose their response. */
    responsesToLose = 0;
    /** Delays of transactions to come that take effect after their call has failed, in milliseconds, shape [delays]. */
    lateWriteDelaysMs: number[] = [];
    private readonly opts: { service: SnapshotKeyValueService; clock: Clock; process: ProcessClock; random: Random; };

    /** @param opts.clock clock of the service, which never stops */
    constructor(opts: { service: SnapshotKeyValueService; clock: Clock; process: ProcessClock; random: Random; }) {
        this.opts = opts;
    }

    get(key: string): Promise<KeyValueEntry | undefined> {
        return this.read(() => this.opts.service.get(key));
    }

    list(prefix: string, opts: { limit?: number; afterKey?: string; } = {}): Promise<KeyValueEntry[]> {
        return this.read(() => this.opts.service.list(prefix, opts));
    }

    snapshot(prefix: string): Promise<KeyValueSnapshot> {
        return this.read(() => this.opts.service.snapshot(prefix));
    }

    changes(prefix: string, opts: { afterRevision: number; signal?: AbortSignal; }): Promise<WatchBatch> {
        return this.read(() => this.opts.service.changes(prefix, opts));
    }

    async transact(...parameters: Parameters<SnapshotKeyValueService["transact"]>): Promise<TransactionResult> {
        const lateByMs = this.state === "connected" ? this.lateWriteDelaysMs.shift() : undefined;
        if (lateByMs !== undefined) {
            this.opts.clock.setTimer(lateByMs, () => {
                this.opts.service.transact(...parameters).catch(() => undefined);
            });
            return this.timeOut();
        }
        const result = await this.write(() => this.opts.service.transact(...parameters));
        if (this.responsesToLose > 0) {
            this.responsesToLose -= 1;
            return this.timeOut();
        }
        return result;
    }

    grantLease(ttlMs: number): Promise<string> {
        return this.write(() => this.opts.service.grantLease(ttlMs));
    }

    keepLeaseAlive(leaseId: string): Promise<number> {
        return this.write(() => this.opts.service.keepLeaseAlive(leaseId));
    }

    revokeLease(leaseId: string): Promise<void> {
        return this.write(() => this.opts.service.revokeLease(leaseId));
    }

    async *watch(prefix: string, opts: { afterRevision: number; signal: AbortSignal; }): AsyncIterable<WatchBatch> {
        await this.read(() => Promise.resolve());
        for await (const batch of this.opts.service.watch(prefix, opts)) {
            await this.delay(MAX_WRITE_DELAY_MS);
            await this.whenNotSilent();
            await this.opts.process.whenRunning();
            this.assertNotRejected();
            yield batch;
        }
        await this.opts.process.whenRunning();
    }

    private read<Value>(action: () => Promise<Value>): Promise<Value> {
        return this.call(action, this.maxReadDelayMs);
    }

    private write<Value>(action: () => Promise<Value>): Promise<Value> {
        return this.call(action, MAX_WRITE_DELAY_MS);
    }

    private async call<Value>(action: () => Promise<Value>, maxDelayMs: number): Promise<Value> {
        if (this.state === "silent") {
            return this.timeOut();
        }
        try {
            await this.delay(MAX_WRITE_DELAY_MS);
            this.assertNotRejected();
            const value = await action();
            await this.delay(maxDelayMs);
            return value;
        }
        finally {
            await this.opts.process.whenRunning();
        }
    }

    private async timeOut(): Promise<never> {
        await sleep(this.opts.clock, CALL_TIMEOUT_MS);
        await this.opts.process.whenRunning();
        throw answerLostError("The call got no response.");
    }

    private delay(maxDelayMs: number): Promise<void> {
        return sleep(this.opts.clock, this.opts.random.next() * maxDelayMs);
    }

    private async whenNotSilent(): Promise<void> {
        while (this.state === "silent") {
            await sleep(this.opts.clock, POLL_INTERVAL_MS);
        }
    }

    private assertNotRejected(): void {
        if (this.state === "rejected") {
            throw unavailableError("The process is cut off from the key-value service.");
        }
    }
}
