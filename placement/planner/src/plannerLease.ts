import type { Clock } from "@knapweedwood/core.clock/clock";
import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { placementKeys } from "./placementKeys.js";

const LEASE_TTL_MS = 10_000;
/** Time before the lease expires at which its holder stops using it. */
const LEASE_MARGIN_MS = 3_000;

/**
 * The lease of a region's planner. Its fencing number is the revision at which the holder's key was written, so it only
 * increases. Methods reject when a call to the key-value service fails.
 */
export class PlannerLease {
    private readonly keyValue: KeyValueService;
    private readonly clock: Clock;
    private readonly instanceId: InstanceId;
    private readonly key: string;
    private leaseId: string | undefined;
    private heldFencingNumber: FencingNumber | undefined;
    private validUntilMs = 0;

    constructor(opts: { keyValue: KeyValueService; clock: Clock; instanceId: InstanceId; region: RegionName; }) {
        this.keyValue = opts.keyValue;
        this.clock = opts.clock;
        this.instanceId = opts.instanceId;
        this.key = placementKeys.holder(opts.region);
    }

    /** Fencing number of the lease; undefined while the lease is not held or is about to expire. */
    get fencingNumber(): FencingNumber | undefined {
        return this.clock.nowMs() < this.validUntilMs - LEASE_MARGIN_MS ? this.heldFencingNumber : undefined;
    }

    /**
     * Acquires the lease if it is free, or renews it if this instance holds it. Called periodically.
     *
     * @returns whether this instance holds the lease
     */
    async acquireOrRenew(): Promise<boolean> {
        return this.leaseId === undefined ? this.acquire() : this.renew(this.leaseId);
    }

    /** Releases the lease if this instance holds it. */
    async release(): Promise<void> {
        const leaseId = this.leaseId;
        this.clear();
        if (leaseId !== undefined) {
            await this.keyValue.revokeLease(leaseId);
        }
    }

    private async acquire(): Promise<boolean> {
        if (await this.keyValue.get(this.key) !== undefined) {
            return false;
        }
        const startedAtMs = this.clock.nowMs();
        const leaseId = await this.keyValue.grantLease(LEASE_TTL_MS);
        const value = new TextEncoder().encode(this.instanceId);
        const result = await this.keyValue.transact(
            [{ key: this.key, modRevision: 0 }],
            [{ kind: "put", key: this.key, value, leaseId }],
        );
        if (!result.succeeded) {
            await this.keyValue.revokeLease(leaseId);
            return false;
        }
        this.leaseId = leaseId;
        this.heldFencingNumber = result.revision as FencingNumber;
        this.validUntilMs = startedAtMs + LEASE_TTL_MS;
        return true;
    }

    private async renew(leaseId: string): Promise<boolean> {
        const startedAtMs = this.clock.nowMs();
        const remainingMs = await this.keyValue.keepLeaseAlive(leaseId);
        if (remainingMs === 0) {
            this.clear();
            return false;
        }
        this.validUntilMs = startedAtMs + Math.min(remainingMs, LEASE_TTL_MS);
        return true;
    }

    private clear(): void {
        this.leaseId = undefined;
        this.heldFencingNumber = undefined;
        this.validUntilMs = 0;
    }
}
