import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { ItemResult } from "@knapweedwood/batch.jobs/itemResult";
import type { JobId } from "@knapweedwood/core.ids/jobId";

type FinalOutcome =
    | Extract<BatchResult["outcome"], { kind: "completed" | "rejected"; }>
    | { kind: "abandoned"; code: string; message: string; };

/** Creates an item's line of the output or error file, in OpenAI's published batch format. */
export function createOutputLine(opts: {
    jobId: JobId;
    index: number;
    customId: string;
    outcome: FinalOutcome;
}): ItemResult {
    const { outcome, index } = opts;
    const id = `batch_req_${opts.jobId.replace(/^batch_/u, "")}_${index}`;
    const envelope = { id, custom_id: opts.customId };
    // The published format requires null for absent values.
    switch (outcome.kind) {
        case "completed": {
            const response = { status_code: outcome.statusCode, request_id: id, body: outcome.body };
            return { index, failed: false, line: { ...envelope, response, error: null } };
        }
        case "rejected": {
            const { code, message } = outcome;
            const body = { error: { code, message, type: "invalid_request_error", param: null } };
            const response = { status_code: outcome.statusCode, request_id: id, body };
            return { index, failed: true, line: { ...envelope, response, error: null } };
        }
        case "abandoned": {
            const { code, message } = outcome;
            return { index, failed: true, line: { ...envelope, response: null, error: { code, message } } };
        }
    }
}
