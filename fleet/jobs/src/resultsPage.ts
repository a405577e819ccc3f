import type { ItemResult } from "./itemResult.js";

/** A page of the results of a job. */
export interface ResultsPage {
    /** Number of items of the job. */
    total: number;
    results: ItemResult[];
    /** Position after the last result of the page. */
    next: number;
}
