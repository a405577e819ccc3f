import type { BatchJob } from "./batchJob.js";
import type { FaultsReport } from "./faultsReport.js";
import type { RunRecords } from "./runRecords.js";

type BatchLines = Awaited<ReturnType<BatchJob["finish"]>>;

/** Compares the results of the jobs with the submitted items and with the engines' records of started runs. */
export function auditItems(
    jobs: { job: BatchJob; lines: BatchLines; }[],
    records: RunRecords,
    isExpectedResponse: (marker: string, body: object) => boolean,
): FaultsReport["items"] {
    const totals = { accepted: 0, completed: 0, failed: 0, lost: 0, doubled: 0, swapped: 0, startedRuns: 0 };
    const reasons: FaultsReport["items"]["reasons"] = {};
    jobs.forEach(({ job, lines }) => {
        const markers = [...lines.output, ...lines.errors].map(line => line.custom_id);
        const found = new Set(markers);
        totals.accepted += job.itemCount;
        totals.completed += lines.output.length;
        totals.failed += lines.errors.length;
        totals.doubled += markers.length - found.size;
        Array.from({ length: job.itemCount }, (_, index) => job.markerOf(index)).forEach(marker => {
            totals.lost += Number(!found.has(marker));
            totals.startedRuns += records.engineStartsOf(marker);
        });
        totals.swapped += lines.output
            .filter(line => !isExpectedResponse(line.custom_id, line.response?.body ?? {})).length;
        lines.errors.forEach(line => {
            const code = line.error?.code ?? `status ${line.response?.status_code}`;
            reasons[code] = (reasons[code] ?? 0) + 1;
        });
    });
    return { ...totals, reasons, redoneShare: totals.startedRuns / totals.accepted - 1 };
}
