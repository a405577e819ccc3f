/** How often handlers were started in a process. */
export interface RunCounts {
    calls: number;
    /** Calls whose handler was started more than once. */
    doubled: number;
}
