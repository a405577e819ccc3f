import type { AddedTime } from "./addedTime.js";

/** What the bench found. */
export interface SilentLinksReport {
    seed: number;
    seconds: number;
    linkCount: number;
    faultCount: number;
    /** Connections that were opened in place of others. */
    replacementCount: number;
    /** Calls on a link that went silent or was cut, or begun there before that was found. */
    affected: AddedTime;
    others: AddedTime;
    /** Answers that were not complete, in order and each frame once. */
    wrongCount: number;
    notRunCount: number;
    unknownCount: number;
    /** Calls whose handler was started more than once. */
    doubledCount: number;
    /** Message bytes of one idle link in both directions together, without headers. */
    idleBytesPerSecond: number;
    /** Processor time of the calling process for one idle link, as a share of a core. */
    idleCoreShare: number;
}
