/** Options of {@link runConfigChurn}. */
export interface ConfigChurnOptions {
    /** Folder for settings and logs of the processes. */
    folder: string;
    seed: number;
    /** Daemons, a fifth of them entries. */
    processes: number;
    publishes: number;
    /** Mean time between two publishes. */
    publishIntervalMs: number;
    /** Told of each step. */
    onProgress?: ((message: string) => void) | undefined;
}
