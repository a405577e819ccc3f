import type { AddedTime } from "./addedTime.js";

/** Results of the benchmark. */
export interface SilentLinksReport {
    seed: number;
    seconds: number;
    linkCount: number;
    faultCount: number;
    /** Connections that replaced a lost connection. */
    replacementCount: number;
    /** Calls that were active on a link when it was silenced or cut, or that started up to 1 s later. */
    affected: AddedTime;
    /** All other calls. */
    others: AddedTime;
    /** Calls with missing, repeated, reordered or foreign frames, or with a handler that was started again. */
    wrongCount: number;
    /** Calls that failed and certainly did not run. */
    notRunCount: number;
    /** Calls that failed and may have run. */
    unknownCount: number;
    /** Calls whose handler was started more than once. */
    doubledCount: number;
    /** Message bytes of one idle link in both directions together, without headers. */
    idleBytesPerSecond: number;
    /** Processor time of the calling process for one idle link, as a share of a core. */
    idleCoreShare: number;
}
