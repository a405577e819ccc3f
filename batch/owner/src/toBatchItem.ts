import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { JobManifest } from "@knapweedwood/batch.jobs/jobManifest";
import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { PendingItem } from "./pendingItem.js";

/** Converts a pending item to the form that is sent to a gate. */
export function toBatchItem(item: PendingItem, manifest: JobManifest): BatchItem {
    return {
        jobId: manifest.jobId,
        itemIndex: item.index as ItemIndex,
        attempt: item.attemptCount,
        teamId: manifest.teamId,
        service: item.service.name,
        endpoint: item.line.url as BatchItem["endpoint"],
        body: item.line.body,
        dueAtMs: manifest.dueAtMs,
        repeatable: item.service.repeatable,
        resumeFrom: item.resumeFrom,
    };
}
