/** How one soak is run. */
export interface SoakOptions {
    /** Folder of the repository, with the bundled programs under it. */
    root: string;
    /** Folder for settings, data and logs; the logs stay. */
    folder: string;
    seed: number;
    /** Processes of the fleet. */
    processes: number;
    /** How long trouble is made. */
    faultMs: number;
}
