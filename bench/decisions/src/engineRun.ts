/** Work that an engine has, or that waits in its queue. */
export interface EngineRun {
    /** Time from the start of the work to its first event. */
    firstEventMs: number;
    /** Time for which it holds a slot. */
    holdMs: number;
    onFirstEvent(): void;
    onEnd(): void;
}
