/** Options of the experiment. */
export interface OverheadOptions {
    /** Length of the measured part, all phases together. */
    seconds?: number;
    seed?: number;
    /** How often each phase is repeated, in turn with the others. */
    rounds?: number;
    /** Model-engine replicas, each with a side. */
    engineCount?: number;
    /** Folder for settings, logs and profiles of the processes; a temporary one by default. */
    folder?: string;
    /** Whether the entry and one side write a CPU profile into the folder. */
    isProfiled?: boolean;
}
