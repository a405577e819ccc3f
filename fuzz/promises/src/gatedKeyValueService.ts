import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import type { InstanceGate } from "./instanceGate.js";

/** The key-value service as an instance reaches it: neither calls nor answers pass while the instance is paused. */
export class GatedKeyValueService implements KeyValueService {
    /** Leases granted to this instance. */
    readonly leaseIds: string[] = [];
    private readonly opts: { keyValue: KeyValueService; gate: InstanceGate; };

    constructor(opts: { keyValue: KeyValueService; gate: InstanceGate; }) {
        this.opts = opts;
    }

    get(...parameters: Parameters<KeyValueService["get"]>): ReturnType<KeyValueService["get"]> {
        return this.pass(service => service.get(...parameters));
    }

    list(...parameters: Parameters<KeyValueService["list"]>): ReturnType<KeyValueService["list"]> {
        return this.pass(service => service.list(...parameters));
    }

    transact(...parameters: Parameters<KeyValueService["transact"]>): ReturnType<KeyValueService["transact"]> {
        return this.pass(service => service.transact(...parameters));
    }

    async grantLease(ttlMs: number): Promise<string> {
        const leaseId = await this.pass(service => service.grantLease(ttlMs));
        this.leaseIds.push(leaseId);
        return leaseId;
    }

    keepLeaseAlive(leaseId: string): Promise<number> {
        return this.pass(service => service.keepLeaseAlive(leaseId));
    }

    revokeLease(leaseId: string): Promise<void> {
        return this.pass(service => service.revokeLease(leaseId));
    }

    async *watch(prefix: string, opts: { afterRevision: number; signal: AbortSignal; }): AsyncIterable<WatchBatch> {
        for await (const batch of this.opts.keyValue.watch(prefix, opts)) {
            await this.opts.gate.pass();
            yield batch;
        }
    }

    private async pass<Value>(action: (service: KeyValueService) => Promise<Value>): Promise<Value> {
        const { gate, keyValue } = this.opts;
        await gate.pass();
        try {
            return await action(keyValue);
        }
        finally {
            await gate.pass();
        }
    }
}
