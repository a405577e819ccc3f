import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";

interface Lease {
    ttlMs: number;
    expiresMs: number;
    keys: Set<string>;
    timer: Timer | undefined;
}

/** Leases that expire according to a clock. Times are in milliseconds. */
export class LeaseTable {
    private readonly clock: Clock;
    private readonly onEnd: (keys: string[]) => void;
    private readonly leases = new Map<string, Lease>();
    private grantedCount = 0;

    /** @param opts.onEnd called with the keys attached to a lease that has expired or was ended, shape [keys] */
    constructor(opts: { clock: Clock; onEnd: (keys: string[]) => void; }) {
        this.clock = opts.clock;
        this.onEnd = opts.onEnd;
    }

    /** @returns the id of the lease */
    grant(ttlMs: number): string {
        this.grantedCount += 1;
        const leaseId = String(this.grantedCount);
        const lease: Lease = { ttlMs, expiresMs: this.clock.nowMs() + ttlMs, keys: new Set(), timer: undefined };
        this.leases.set(leaseId, lease);
        this.schedule(leaseId, lease);
        return leaseId;
    }

    has(leaseId: string): boolean {
        return this.leases.has(leaseId);
    }

    attach(leaseId: string, key: string): void {
        this.leases.get(leaseId)?.keys.add(key);
    }

    detach(leaseId: string, key: string): void {
        this.leases.get(leaseId)?.keys.delete(key);
    }

    /**
     * Renews a lease.
     *
     * @returns the remaining time to live, or 0 if the lease has ended
     */
    keepAlive(leaseId: string): number {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            return 0;
        }
        lease.expiresMs = this.clock.nowMs() + lease.ttlMs;
        return lease.ttlMs;
    }

    /** Ends a lease. Has no effect if it has ended already. */
    end(leaseId: string): void {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            return;
        }
        lease.timer?.cancel();
        this.leases.delete(leaseId);
        this.onEnd([...lease.keys]);
    }

    /** Cancels all timers and drops all leases. */
    close(): void {
        this.leases.forEach(lease => lease.timer?.cancel());
        this.leases.clear();
    }

    private schedule(leaseId: string, lease: Lease): void {
        lease.timer = this.clock.setTimer(lease.expiresMs - this.clock.nowMs(), () => {
            if (lease.expiresMs > this.clock.nowMs()) {
                this.schedule(leaseId, lease);
                return;
            }
            this.end(leaseId);
        });
    }
}
