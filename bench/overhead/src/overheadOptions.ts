/** Options of the experiment. */
export interface OverheadOptions {
    /** Total length of the measured phases. */
    seconds?: number;
    seed?: number;
    /** Number of rounds; each round runs every phase once. */
    rounds?: number;
    /** Model-engine replicas, each with a side. */
    engineCount?: number;
    /** Folder for settings, logs and profiles of the processes; a temporary folder by default. */
    folder?: string;
    /** Whether the entry and one side write CPU profiles to the folder. */
    isProfiled?: boolean;
}
