import type { ItemResult } from "./itemResult.js";
import type { ResultsPage } from "./resultsPage.js";

/** Maximum total output of one page, in characters. A single larger result still gets a page. */
const MAX_PAGE_LENGTH = 600_000;

/**
 * Returns a page with as many of the results as fit.
 *
 * @param results results from position `after` on, shape [results]
 */
export function cutResultsPage(
    results: readonly ItemResult[],
    opts: { total: number; after: number; },
): ResultsPage {
    let length = 0;
    const fitting = results.filter((result, index) => {
        length += result.output.length;
        return index === 0 || length <= MAX_PAGE_LENGTH;
    });
    return { total: opts.total, results: fitting, next: opts.after + fitting.length };
}
