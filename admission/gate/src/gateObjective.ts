/** Objective of a gate, set by the operator. */
export interface GateObjective {
    /** Longest step duration at which the gap between tokens meets the objective, in milliseconds. */
    tokenGapObjectiveMs: number;
    /**
     * Share of the range from the step duration of a single sequence to the objective that batch work may fill, in
     * [0, 1]. 0 favours online latency, 1 favours batch throughput.
     */
    batchBalance: number;
}
