/** Options of the experiment. */
export interface OverheadOptions {
    /** Folder for settings, logs and profiles of the processes. */
    folder: string;
    seed: number;
    /** Length of each measured phase of a round. */
    phaseMs: number;
    /** How often each phase is repeated, in turn with the others. */
    rounds: number;
    /** Model-engine replicas, each with a side. */
    engineCount: number;
    /** Where set, the entry and one side write a CPU profile into the folder. */
    isProfiled?: boolean;
}
