/** Numbers of calls whose handlers were started in a process. */
export interface RunCounts {
    /** Calls whose handler was started at least once. */
    calls: number;
    /** Calls whose handler was started more than once. */
    doubled: number;
}
