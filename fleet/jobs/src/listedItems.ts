/**
 * The stored list of a job's items that have a result. Each write of results replaces it and compares its revision, so
 * that a leader can add results only to the list that it has read.
 */
export interface ListedItems {
    /** Random id of the write, which tells equal lists of two writes apart. */
    nonce: string;
    /** Indexes of the items among those of the job, in the order of the positions of their results, shape [results]. */
    itemIndexes: number[];
}
