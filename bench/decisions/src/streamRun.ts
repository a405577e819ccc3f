/** A stream that an engine runs or has queued. */
export interface StreamRun {
    /** Time to the first event at an engine of slowness 1, in milliseconds. */
    firstEventMs: number;
    /** Number of events after the first. */
    eventCount: number;
    onFirstEvent(): void;
    onEvent(): void;
    onEnd(): void;
}
