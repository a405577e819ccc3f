import type { Clock } from "@knapweedwood/core.clock/clock";
import type { MirrorVerification } from "@knapweedwood/fleet.view/mirrorVerification";

/** Records until when a mirror is known to have every change of its keys. */
export class MirrorAge {
    private readonly clock: Clock;
    private anyVerifiedAtMs = -Infinity;
    private processVerifiedAtMs = -Infinity;
    /** Revision of the last change, or of a listing since; 0 before the first. */
    private changeRevision = 0;

    constructor(opts: { clock: Clock; }) {
        this.clock = opts.clock;
    }

    /** Unix ms up to which the mirror has every change, as the service has said to any process; -infinity before the first listing. */
    get verifiedAtMs(): number {
        return this.anyVerifiedAtMs;
    }

    /** Unix ms up to which the mirror has every change, as the service has said to this process; -infinity as above. */
    get ownVerifiedAtMs(): number {
        return this.processVerifiedAtMs;
    }

    /** Time for which the service has said nothing to any process, in milliseconds; infinity before the first listing. */
    get ageMs(): number {
        return this.clock.nowMs() - this.anyVerifiedAtMs;
    }

    /** What the service last said to this process; undefined before the first listing. */
    get verification(): MirrorVerification | undefined {
        return this.changeRevision === 0
            ? undefined
            : { revision: this.changeRevision, ageMs: this.clock.nowMs() - this.processVerifiedAtMs };
    }

    /** Records that the service has said to this process that the mirror has every change up to `atMs`, Unix ms. */
    recordOwn(atMs: number): void {
        this.processVerifiedAtMs = Math.max(this.processVerifiedAtMs, atMs);
        this.anyVerifiedAtMs = Math.max(this.anyVerifiedAtMs, atMs);
    }

    /** Records that the service has said so to another process, `ageMs` milliseconds ago. */
    recordOfPeer(ageMs: number): void {
        this.anyVerifiedAtMs = Math.max(this.anyVerifiedAtMs, this.clock.nowMs() - ageMs);
    }

    /** Records the revision of a change or of a listing. */
    recordChange(revision: number): void {
        this.changeRevision = revision;
    }
}
