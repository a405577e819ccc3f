/** Work that an engine runs or has queued. */
export interface EngineRun {
    /** Time from the start of the work to its first event. */
    firstEventMs: number;
    /** Time for which the work holds a slot. */
    holdMs: number;
    onFirstEvent(): void;
    onEnd(): void;
}
