/** Options of {@link runConfigChurn}. */
export interface ConfigChurnOptions {
    /** Folder for the settings and logs of the processes. */
    folder: string;
    seed: number;
    /** Number of daemons. A fifth of them, but at least three, are entries. */
    processes: number;
    /** Number of publishes. */
    publishes: number;
    /** Mean time between two publishes. */
    publishIntervalMs: number;
    /** Called with a message at each step. */
    onProgress?: ((message: string) => void) | undefined;
}
