/** The options of the experiment, filled in. */
export interface OverheadPlan {
    seed: number;
    rounds: number;
    engineCount: number;
    folder: string;
    isProfiled: boolean;
    /** Length of each measured phase of a round. */
    phaseMs: number;
}
