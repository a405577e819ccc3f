/** The options of the experiment, filled in. */
export interface FaultsPlan {
    seed: number;
    faultsMs: number;
    itemCount: number;
    keyedCallCount: number;
    receiptCount: number;
    folder: string;
}
