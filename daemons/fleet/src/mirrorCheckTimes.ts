import type { PeerFollower } from "./peerFollower.js";

/** Part of the time in which a change has to take effect after which a mirror is checked. The rest is for the check. */
const MAX_AGE_SHARE = 0.5;
/** Least age at which a mirror is checked, in milliseconds. The settings may name no drain time. */
const LEAST_CHECKED_AGE_MS = 500;
/** Time that a process has to check a mirror and to tell the others, in milliseconds. */
const TURN_MS = 50;
const MAX_TURNS = 8;
/**
 * Time by which each further process checks later than the one before, in milliseconds. It limits the calls of a fleet whose
 * processes don't hear each other.
 */
const LATE_TURN_MS = 5;
/** Longest delay of a check, in milliseconds. */
const MAX_DELAY_MS = 12_000;
/** Age at which a process that places nothing checks its mirrors, in milliseconds. Others tell it once a second. */
const STANDBY_MAX_AGE_MS = 4000;

/**
 * Decides when a process asks the key-value service whether its mirrors lack a change. The processes take turns, and the
 * others are verified by the report of the one that asked.
 */
export class MirrorCheckTimes {
    private readonly peers: () => Pick<PeerFollower, "placesLoad" | "placingRank">;

    constructor(opts: { peers: () => Pick<PeerFollower, "placesLoad" | "placingRank">; }) {
        this.peers = opts.peers;
    }

    /**
     * Returns the age at which a mirror is checked, in milliseconds.
     *
     * @param boundMs time in which a change of the mirrored keys has to take effect, in milliseconds
     */
    maxAgeMs(boundMs: number): number {
        const maxAgeMs = Math.max(LEAST_CHECKED_AGE_MS, boundMs * MAX_AGE_SHARE);
        return this.peers().placesLoad ? maxAgeMs : Math.max(maxAgeMs, STANDBY_MAX_AGE_MS);
    }

    /** Returns how much later this process checks, in milliseconds. */
    delayMs(): number {
        const { placingRank } = this.peers();
        if (placingRank === Infinity) {
            return MAX_TURNS * TURN_MS;
        }
        const lateTurns = Math.max(0, placingRank - MAX_TURNS);
        return Math.min(MAX_DELAY_MS, (placingRank - lateTurns) * TURN_MS + lateTurns * LATE_TURN_MS);
    }
}
