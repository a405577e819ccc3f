/** Options of the experiment with all defaults applied. */
export interface FaultsPlan {
    seed: number;
    faultsMs: number;
    itemCount: number;
    keyedCallCount: number;
    receiptCount: number;
    folder: string;
}
