import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { BatchJob } from "./batchJob.js";
import type { FaultsReport } from "./faultsReport.js";
import type { RunRecords } from "./runRecords.js";

/** Compares the results of a job of non-repeatable calls with the services' records of handled calls. */
export function auditReceipts(
    job: BatchJob,
    lines: Awaited<ReturnType<BatchJob["finish"]>>,
    records: RunRecords,
    bodyOf: (marker: string) => object,
): FaultsReport["receipts"] {
    const counts = records.countsByBody();
    const markers = Array.from({ length: job.itemCount }, (_, index) => job.markerOf(index));
    const found = new Set([...lines.output, ...lines.errors].map(line => line.custom_id));
    return {
        accepted: job.itemCount,
        completed: lines.output.length,
        unknown: lines.errors.filter(line => line.error?.code === "outcome_unknown").length,
        lost: markers.filter(marker => !found.has(marker)).length,
        ranTwice: markers.filter(marker => (counts.get(digestOf(JSON.stringify(bodyOf(marker)))) ?? 0) > 1).length,
    };
}
