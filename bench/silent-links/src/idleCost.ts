/** Cost of one idle link. */
export interface IdleCost {
    /** Message bytes in both directions together, without headers. */
    bytesPerSecond: number;
    /** Processor time of the calling process as a share of one core, in [0, 1]. */
    coreShare: number;
}
