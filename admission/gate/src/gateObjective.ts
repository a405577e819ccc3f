/** What an operator asks of a gate. */
export interface GateObjective {
    /** Step time that keeps the gap between tokens within the objective. */
    tokenGapObjectiveMs: number;
    /**
     * Share in [0, 1] of the step time beyond that of a single sequence that batch work may fill, up to the objective:
     * 0 favours online latency, 1 batch throughput.
     */
    batchBalance: number;
}
