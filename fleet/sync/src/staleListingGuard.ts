import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/**
 * Time for which listings of a lower revision than the known one are refused, in milliseconds. They come from a replica
 * that lags behind; a service restored from a backup returns them permanently.
 */
const REFUSAL_MS = 30_000;

/** Refuses listings that would bring back a state older than the known one. */
export class StaleListingGuard {
    private readonly clock: Clock;
    private staleSinceMs: number | undefined;

    constructor(opts: { clock: Clock; }) {
        this.clock = opts.clock;
    }

    /** Throws `KEY_VALUE_STALE` if a listing of `revision` is older than the known revision, unless that has lasted for long. */
    check(revision: number, knownRevision: number): void {
        const nowMs = this.clock.nowMs();
        if (revision >= knownRevision) {
            this.staleSinceMs = undefined;
            return;
        }
        this.staleSinceMs ??= nowMs;
        if (nowMs - this.staleSinceMs < REFUSAL_MS) {
            throw new KnapweedError(
                "KEY_VALUE_STALE",
                `The listing is of revision ${revision}, ${knownRevision} is known`,
                { outcome: "not-run" },
            );
        }
    }
}
