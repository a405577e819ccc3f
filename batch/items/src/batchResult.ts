import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { ResumePoint } from "@knapweedwood/engines.model-engine/resumePoint";

/** What became of one attempt at an item. */
export interface BatchResult {
    jobId: JobId;
    itemIndex: ItemIndex;
    attempt: number;
    outcome:
        | { kind: "completed"; statusCode: number; body: JsonObject; }
        /** The upstream answered that the item itself is wrong (status 4xx): final. */
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
        /** Not finished here and given back, with what was produced. */
        | { kind: "returned"; resumeFrom?: ResumePoint; };
}
