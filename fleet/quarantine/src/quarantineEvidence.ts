/** What speaks for and against a quarantine, for logs. */
export interface QuarantineEvidence {
    /** Whether the crashes may have another cause, so that the next probe comes as soon as the upstreams are calm. */
    isDoubtful: boolean;
    /** Number of crashes that put it in doubt: around the same time or later, at other upstreams, and broken off by no probe. */
    otherCrashes: number;
    /** Time since the last of them, in milliseconds; undefined if there was none. */
    otherCrashAgeMs?: number;
    /** Time for which this process had run requests with the trait for each crash, in milliseconds; undefined if it has seen none. */
    runMsPerCrash?: number;
}
