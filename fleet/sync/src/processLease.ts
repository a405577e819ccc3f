import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const LEASE_MS = 2500;
const RENEWAL_INTERVAL_MS = 800;
const RETRY_DELAY_MS = 250;

/** The single lease of a process. All keys of the process are bound to it. */
export class ProcessLease {
    private readonly opts: {
        service: KeyValueService;
        clock: Clock;
        random: Random;
        logger: Logger;
        minLeaseMs: number;
    };
    private readonly onGranted: (leaseId: string) => Promise<void>;
    private leaseId: string | undefined;
    private renewedAtMs = -Infinity;
    private renewedAtWallMs = -Infinity;
    private ttlMs = 0;

    /** @param opts.onGranted called with the id of each new lease; writes the keys bound to it */
    constructor(opts: {
        service: KeyValueService;
        clock: Clock;
        random: Random;
        logger: Logger;
        minLeaseMs: number;
        onGranted: (leaseId: string) => Promise<void>;
    }) {
        this.opts = opts;
        this.onGranted = opts.onGranted;
    }

    /** Id of the held lease; undefined once the lease may have expired. */
    get heldId(): string | undefined {
        return this.isHeld() ? this.leaseId : undefined;
    }

    /** Returns true only while the lease certainly has not expired. */
    isHeld(): boolean {
        // The monotonic clock stops while the instance is suspended; the wall clock doesn't.
        const elapsedMs = Math.max(this.opts.clock.nowMs() - this.renewedAtMs, Date.now() - this.renewedAtWallMs);
        return this.leaseId !== undefined && elapsedMs < this.ttlMs;
    }

    /** Time at which the last successful grant or renewal was sent, Unix ms; -Infinity before the first. */
    get lastRenewedAtMs(): number {
        return this.renewedAtMs;
    }

    /** Returns whether a grant or renewal sent within the last `maxAgeMs` succeeded. */
    wasRenewedWithin(maxAgeMs: number): boolean {
        return this.opts.clock.nowMs() - this.renewedAtMs < maxAgeMs;
    }

    /** Keeps the lease alive until `signal` is aborted. Requests a new lease when it has expired. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const delayMs = await this.renewOnce();
            await sleep(this.opts.clock, delayMs * (0.9 + this.opts.random.next() * 0.2), signal);
        }
    }

    /** Revokes the lease, which removes its keys at once. Rejects if the service fails. */
    async revoke(): Promise<void> {
        const { leaseId } = this;
        this.leaseId = undefined;
        if (leaseId !== undefined) {
            await this.opts.service.revokeLease(leaseId);
        }
    }

    /** @returns delay before the next call, in milliseconds */
    private async renewOnce(): Promise<number> {
        try {
            if (this.leaseId === undefined) {
                await this.grant();
            }
            else {
                await this.renew(this.leaseId);
            }
            return this.leaseId === undefined ? 0 : RENEWAL_INTERVAL_MS;
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.debug("lease-call-failed", { code: error.code, message: error.message });
            return RETRY_DELAY_MS;
        }
    }

    private async grant(): Promise<void> {
        const sentAtMs = this.opts.clock.nowMs();
        const sentAtWallMs = Date.now();
        const requestedMs = Math.max(LEASE_MS, this.opts.minLeaseMs);
        const leaseId = await this.opts.service.grantLease(requestedMs);
        await this.onGranted(leaseId);
        this.leaseId = leaseId;
        this.ttlMs = requestedMs;
        this.renewedAtMs = sentAtMs;
        this.renewedAtWallMs = sentAtWallMs;
        this.opts.logger.info("lease-granted", { leaseId });
    }

    private async renew(leaseId: string): Promise<void> {
        const sentAtMs = this.opts.clock.nowMs();
        const sentAtWallMs = Date.now();
        const ttlMs = await this.opts.service.keepLeaseAlive(leaseId);
        if (ttlMs <= 0) {
            this.opts.logger.warn("lease-lapsed", { leaseId });
            this.leaseId = undefined;
            return;
        }
        this.ttlMs = ttlMs;
        this.renewedAtMs = sentAtMs;
        this.renewedAtWallMs = sentAtWallMs;
    }
}
