import type { ItemResult } from "./itemResult.js";

/** Results of a job from a position on. */
export interface ResultsPage {
    /** Number of items of the job. */
    total: number;
    results: ItemResult[];
    /** Position after the last result of the page. */
    next: number;
}
