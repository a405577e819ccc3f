import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";

/** A call about a batch job, other than its submission. `after` is the position of the first requested result. */
export type JobCall =
    | { kind: "read-results"; jobId: JobId; after: number; waitMs: number; }
    | { kind: "read-item"; jobId: JobId; itemId: ItemId; }
    | { kind: "cancel"; jobId: JobId; };
