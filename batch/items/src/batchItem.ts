import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { ResumePoint } from "@knapweedwood/engines.model-engine/resumePoint";

/** Item of a batch job, as it is sent to an upstream. */
export interface BatchItem {
    jobId: JobId;
    itemIndex: ItemIndex;
    /**
     * Number of the attempt, starting at 1. A failed or returned outcome is accepted only for the current attempt, a
     * completed or rejected one for any attempt.
     */
    attempt: number;
    teamId: TeamId;
    service: ServiceName;
    endpoint: GenerateRequest["endpoint"] | "/v1/embeddings" | `/services/${string}`;
    body: JsonObject;
    /** When the job is due, in milliseconds since the Unix epoch. */
    dueAtMs: number;
    /** Whether the item may be run again after an unknown outcome. */
    repeatable: boolean;
    resumeFrom?: ResumePoint;
}
