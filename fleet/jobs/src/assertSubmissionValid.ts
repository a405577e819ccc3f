import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { invalidFieldOf } from "./invalidFieldOf.js";
import { isJobIdValid } from "./isJobIdValid.js";
import type { JobSubmission } from "./jobSubmission.js";

/** Number of characters of an item's id that an error message shows. */
const MAX_SHOWN_LENGTH = 80;

/**
 * Throws `JOB_ID_INVALID`, `JOB_ITEMS_NOT_UNIQUE` if two items have the same id, since an item has one result, and
 * `JOB_ITEM_INVALID` if an item can't be sent to an upstream, so that no job is accepted that can't be run.
 *
 * @param opts.maxHeadBytes largest head of a request that callers may send
 */
export function assertSubmissionValid({ jobId, items }: JobSubmission, opts: { maxHeadBytes: number; }): void {
    if (!isJobIdValid(jobId)) {
        throw new KnapweedError(
            "JOB_ID_INVALID",
            "The id of the job is empty, too long, or has other than ASCII characters",
            {
                outcome: "not-run",
            },
        );
    }
    if (new Set(items.map(({ id }) => id)).size < items.length) {
        throw new KnapweedError("JOB_ITEMS_NOT_UNIQUE", `Two items of job ${jobId} have the same id`, {
            hint: "Give each item of a job an id of its own.",
            outcome: "not-run",
        });
    }
    items.forEach((item, index) => {
        const invalid = invalidFieldOf(item, opts);
        if (invalid !== undefined) {
            const name = JSON.stringify(item.id.slice(0, MAX_SHOWN_LENGTH));
            throw new KnapweedError(
                "JOB_ITEM_INVALID",
                `Item ${index} (${name}): ${invalid.field} ${invalid.problem}`,
                {
                    outcome: "not-run",
                    parameter: `items[${index}].${invalid.field}`,
                },
            );
        }
    });
}
