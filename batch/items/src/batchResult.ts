import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { ResumePoint } from "@knapweedwood/engines.model-engine/resumePoint";

/** Result of one attempt at an item. */
export interface BatchResult {
    jobId: JobId;
    itemIndex: ItemIndex;
    attempt: number;
    outcome:
        | { kind: "completed"; statusCode: number; body: JsonObject; }
        /** The upstream rejected the item itself with a 4xx status. This result is final. */
        | { kind: "rejected"; statusCode: number; code: string; message: string; }
        /** The attempt failed; `blame` says whether the item or the instance is suspected. */
        | {
            kind: "failed";
            code: string;
            message: string;
            blame: "item" | "instance";
            /** Whether the upstream may have run the item. */
            mayHaveRun: boolean;
        }
        /** The item was returned unfinished, with the output produced so far. */
        | { kind: "returned"; resumeFrom?: ResumePoint; };
}
