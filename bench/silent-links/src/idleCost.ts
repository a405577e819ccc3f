/** What one idle link costs. */
export interface IdleCost {
    bytesPerSecond: number;
    /** Of one core, in [0, 1]. */
    coreShare: number;
}
