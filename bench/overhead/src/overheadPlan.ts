/** Options of the experiment with all defaults applied. */
export interface OverheadPlan {
    seed: number;
    rounds: number;
    engineCount: number;
    folder: string;
    isProfiled: boolean;
    /** Length of each measured phase. */
    phaseMs: number;
}
