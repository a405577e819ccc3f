/** Options of one soak. */
export interface SoakOptions {
    /** Folder of the repository, which contains the bundled programs. */
    root: string;
    /** Folder for settings, data and logs. The logs are kept after the run. */
    folder: string;
    seed: number;
    /** Number of processes of the fleet. */
    processes: number;
    /** Share of the seeds, in [0, 1], with a request that ends each upstream that begins to run it. */
    crashingShare: number;
    /** Duration of the fault phase. */
    faultMs: number;
}
