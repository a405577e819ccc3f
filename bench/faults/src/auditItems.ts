import type { BatchWork } from "./batchWork.js";
import type { FaultsReport } from "./faultsReport.js";
import type { RunRecords } from "./runRecords.js";

type Lines = Awaited<ReturnType<BatchWork["finish"]>>;

/** Compares the results of the jobs with what was submitted and with what the engines ran. */
export function auditItems(
    jobs: { work: BatchWork; lines: Lines; }[],
    records: RunRecords,
    isOwnAnswer: (marker: string, body: object) => boolean,
): FaultsReport["items"] {
    const totals = { accepted: 0, completed: 0, failed: 0, lost: 0, doubled: 0, swapped: 0, startedRuns: 0 };
    const reasons: FaultsReport["items"]["reasons"] = {};
    jobs.forEach(({ work, lines }) => {
        const markers = [...lines.output, ...lines.errors].map(line => line.custom_id);
        const found = new Set(markers);
        totals.accepted += work.itemCount;
        totals.completed += lines.output.length;
        totals.failed += lines.errors.length;
        totals.doubled += markers.length - found.size;
        Array.from({ length: work.itemCount }, (_, index) => work.markerOf(index)).forEach(marker => {
            totals.lost += Number(!found.has(marker));
            totals.startedRuns += records.engineStartsOf(marker);
        });
        totals.swapped += lines.output
            .filter(line => !isOwnAnswer(line.custom_id, line.response?.body ?? {})).length;
        lines.errors.forEach(line => {
            const code = line.error?.code ?? `status ${line.response?.status_code}`;
            reasons[code] = (reasons[code] ?? 0) + 1;
        });
    });
    return { ...totals, reasons, redoneShare: totals.startedRuns / totals.accepted - 1 };
}
