/** The result of an item as a caller read it. */
export interface JobResult {
    itemId: string;
    state: string;
    output: string;
}
