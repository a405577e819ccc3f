/** How a fuzz run ended. */
export interface FuzzReport {
    hasFailed: boolean;
    runCount: number;
    /** Replays the shrunk case, with the same seed. */
    path: string | undefined;
    /** The shrunk case and what it broke. */
    message: string | undefined;
}
