import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";

/** A run that was to test a quarantined trait and was broken off. */
export interface BrokenProbe {
    /** The crash, named by `crashId`. */
    crash: UpstreamProcessKey;
    /** Whether the crash counts against the trait; otherwise a more specific one of the request is quarantined too. */
    isCounted: boolean;
    /** Whether a more specific trait of the request, or the request itself, had been broken off before and may be the cause. */
    isAmbiguous: boolean;
    /** Share by which the next probe is put off if this one tells nothing, so that probes don't meet again. */
    jitter: number;
}
