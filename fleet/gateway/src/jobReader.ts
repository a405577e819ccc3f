import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ResultsPage } from "@knapweedwood/fleet.jobs/resultsPage";

/** Reads jobs where they are run. */
export interface JobReader {
    /** @returns undefined where there certainly is no such job. Throws where that can't be told. */
    results(opts: { jobId: JobId; after: number; waitMs: number; }): Promise<ResultsPage | undefined>;
    /** @returns undefined where there certainly is no such item. Throws where that can't be told. */
    itemBody(jobId: JobId, itemId: ItemId): Promise<Uint8Array | undefined>;
}
