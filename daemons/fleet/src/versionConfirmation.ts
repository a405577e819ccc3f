import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamFollower } from "./upstreamFollower.js";

/** Time after which a confirmation without a response counts as failed, in milliseconds. A caller waits for it. */
const TIMEOUT_MS = 300;

interface VersionConfirmationOptions {
    clock: Clock;
    upstreams: Pick<UpstreamFollower, "soleVersion" | "isListingAsKnown">;
    /** Makes the stored configuration the active one. Resolves to whether the active one is certain to be current. */
    refreshConfiguration: () => Promise<boolean>;
}

/**
 * Tells the only software version of a service, after a look at the key-value service. A process that was cut off or stood
 * still may lack the last changes without knowing it, and a stream may have begun at a version that it hasn't seen.
 */
export class VersionConfirmation {
    private readonly opts: VersionConfirmationOptions;
    private running: Promise<boolean> | undefined;
    /** The confirmation after the running one, for those that have asked since it began. */
    private next: Promise<boolean> | undefined;

    constructor(opts: VersionConfirmationOptions) {
        this.opts = opts;
    }

    /**
     * Returns the one software version that has run a service since `sinceMs`; undefined if there were others, or if that
     * isn't certain now.
     */
    async soleVersion(service: ServiceName, sinceMs: number): Promise<SoftwareVersion | undefined> {
        const { upstreams } = this.opts;
        if (upstreams.soleVersion(service, sinceMs) === undefined) {
            return undefined;
        }
        const isConfirmed = await this.confirm();
        return isConfirmed ? upstreams.soleVersion(service, sinceMs) : undefined;
    }

    /** Resolves to whether what this process knows is current, by calls that are sent from now on. */
    private confirm(): Promise<boolean> {
        if (this.running === undefined) {
            return this.start();
        }
        this.next ??= this.running.then(() => {
            this.next = undefined;
            return this.start();
        });
        return this.next;
    }

    private start(): Promise<boolean> {
        const { clock, upstreams, refreshConfiguration } = this.opts;
        const checks = Promise.all([upstreams.isListingAsKnown(), refreshConfiguration()])
            .then(results => results.every(isCurrent => isCurrent))
            .catch(() => false);
        const running = Promise.race([checks, sleep(clock, TIMEOUT_MS).then(() => false)]).finally(() => {
            this.running = undefined;
        });
        this.running = running;
        return running;
    }
}
