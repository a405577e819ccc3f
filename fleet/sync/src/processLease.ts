import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const LEASE_MS = 2500;
const RENEWAL_INTERVAL_MS = 800;
const RETRY_DELAY_MS = 250;

/** The one lease of a process, to which its keys are bound. */
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

    /** @param opts.onGranted writes the keys bound to the lease; called again for each new lease */
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

    /** The lease held; undefined once it may have lapsed. */
    get heldId(): string | undefined {
        return this.isHeld() ? this.leaseId : undefined;
    }

    /** Whether the lease certainly has not lapsed. */
    isHeld(): boolean {
        // The steady clock stands still while the instance is suspended, the time of day doesn't.
        const elapsedMs = Math.max(this.opts.clock.nowMs() - this.renewedAtMs, Date.now() - this.renewedAtWallMs);
        return this.leaseId !== undefined && elapsedMs < this.ttlMs;
    }

    /** Whether the key-value service has answered a renewal within `maxAgeMs`. */
    wasRenewedWithin(maxAgeMs: number): boolean {
        return this.opts.clock.nowMs() - this.renewedAtMs < maxAgeMs;
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const delayMs = await this.renewOnce();
            await sleep(this.opts.clock, delayMs * (0.9 + this.opts.random.next() * 0.2), signal);
        }
    }

    /** Ends the lease, so that its keys go at once. */
    async revoke(): Promise<void> {
        const { leaseId } = this;
        this.leaseId = undefined;
        if (leaseId !== undefined) {
            await this.opts.service.revokeLease(leaseId);
        }
    }

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
