import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import type { InstanceLifecycle } from "./instanceLifecycle.js";

/**
 * The key-value service as one simulated instance uses it.
 *
 * Calls, responses and watch batches are held back while the instance is paused, and never delivered once it is dead.
 */
export class PausableKeyValueService implements KeyValueService {
    /** The ids of the leases granted to this instance, including revoked and expired ones. */
    readonly leaseIds: string[] = [];
    private readonly opts: { keyValue: KeyValueService; lifecycle: InstanceLifecycle; };

    constructor(opts: { keyValue: KeyValueService; lifecycle: InstanceLifecycle; }) {
        this.opts = opts;
    }

    get(...parameters: Parameters<KeyValueService["get"]>): ReturnType<KeyValueService["get"]> {
        return this.callWhileRunning(service => service.get(...parameters));
    }

    list(...parameters: Parameters<KeyValueService["list"]>): ReturnType<KeyValueService["list"]> {
        return this.callWhileRunning(service => service.list(...parameters));
    }

    transact(...parameters: Parameters<KeyValueService["transact"]>): ReturnType<KeyValueService["transact"]> {
        return this.callWhileRunning(service => service.transact(...parameters));
    }

    async grantLease(ttlMs: number): Promise<string> {
        const leaseId = await this.callWhileRunning(service => service.grantLease(ttlMs));
        this.leaseIds.push(leaseId);
        return leaseId;
    }

    keepLeaseAlive(leaseId: string): Promise<number> {
        return this.callWhileRunning(service => service.keepLeaseAlive(leaseId));
    }

    revokeLease(leaseId: string): Promise<void> {
        return this.callWhileRunning(service => service.revokeLease(leaseId));
    }

    async *watch(prefix: string, opts: { afterRevision: number; signal: AbortSignal; }): AsyncIterable<WatchBatch> {
        for await (const batch of this.opts.keyValue.watch(prefix, opts)) {
            await this.opts.lifecycle.whenRunning();
            yield batch;
        }
    }

    private async callWhileRunning<Value>(action: (service: KeyValueService) => Promise<Value>): Promise<Value> {
        const { lifecycle, keyValue } = this.opts;
        await lifecycle.whenRunning();
        try {
            return await action(keyValue);
        }
        finally {
            await lifecycle.whenRunning();
        }
    }
}
