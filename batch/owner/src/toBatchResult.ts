import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { ItemResult } from "@knapweedwood/batch.jobs/itemResult";
import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

/** Converts a stored result back to the report it came from. Returns undefined if the owner itself set the result. */
export function toBatchResult(jobId: JobId, result: ItemResult): BatchResult | undefined {
    const response = result.line.response as { status_code: number; body: JsonObject; } | null;
    if (response === null) {
        return undefined;
    }
    const { status_code: statusCode, body } = response;
    const { code, message } = (body.error ?? {}) as { code?: string; message?: string; };
    return {
        jobId,
        itemIndex: result.index as ItemIndex,
        attempt: 0,
        outcome: result.failed
            ? { kind: "rejected", statusCode, code: code ?? "rejected", message: message ?? "" }
            : { kind: "completed", statusCode, body },
    };
}
