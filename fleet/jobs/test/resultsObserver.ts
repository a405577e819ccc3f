import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { ItemResult } from "../src/itemResult.js";
import { jobKeys } from "../src/jobKeys.js";
import type { JobRecord } from "../src/jobRecord.js";
import type { SimulatedUpstreams } from "./simulatedUpstreams.js";

const SOFTWARE_VERSIONS = ["v1", "v2"];
/** Time after a cancellation within which items of the job may still begin, in milliseconds. */
const CANCELLATION_MS = 3000;

/** Checks each result that is stored, each page that is read and each run that begins against the promises to callers. */
export class ResultsObserver {
    readonly violations: string[] = [];
    readonly cancelledAtMs = new Map<JobId, number>();
    private readonly upstreams: SimulatedUpstreams;
    private readonly records = new Map<JobId, JobRecord>();
    private readonly results = new Map<JobId, ItemResult[]>();

    constructor(opts: { upstreams: SimulatedUpstreams; }) {
        this.upstreams = opts.upstreams;
    }

    onSubmitted(record: JobRecord): void {
        this.records.set(record.jobId, record);
        this.results.set(record.jobId, []);
    }

    /** Records a cancellation that is stored. */
    onCancelled(jobId: JobId, nowMs: number): void {
        this.cancelledAtMs.set(jobId, this.cancelledAtMs.get(jobId) ?? nowMs);
    }

    /** Checks changed entries under the prefix of the results, shape [entries]. */
    onStored(entries: readonly KeyValueEntry[], nowMs: number): void {
        entries.forEach(entry => {
            const [jobId, kind, position] = entry.key.slice(jobKeys.resultsPrefix.length).split("/");
            if (kind === "at") {
                this.checkResult(jobId as JobId, Number(position), decodeRecord<ItemResult>(entry.value), nowMs);
            }
        });
    }

    /** Checks removed keys. No retention time ends in the simulation, so no result may be removed. */
    onRemoved(keys: readonly string[]): void {
        keys.filter(key => key.includes("/at/")).forEach(key => this.violations.push(`${key} was removed`));
    }

    /** Checks a page that a process has served from position 0 on. */
    onPage(jobId: JobId, page: readonly ItemResult[]): void {
        const stored = this.results.get(jobId)!.slice(0, page.length);
        if (JSON.stringify(page.map(toText)) !== JSON.stringify(stored.map(toText))) {
            this.violations.push(`${jobId}: a page differs from the stored results`);
        }
    }

    /** Checks an item that begins to run at a process, which has received all changes since `connectedSinceMs`. */
    onRunBegun(itemId: string, opts: { nowMs: number; connectedSinceMs: number; }): void {
        const jobId = itemId.slice(0, itemId.lastIndexOf("-")) as JobId;
        const cancelledAtMs = this.cancelledAtMs.get(jobId) ?? Infinity;
        if (opts.nowMs > Math.max(cancelledAtMs, opts.connectedSinceMs) + CANCELLATION_MS) {
            this.violations.push(`${itemId} began at ${opts.nowMs}, cancelled at ${cancelledAtMs}`);
        }
    }

    /** Returns the items of open jobs that have no result, shape [items]. */
    itemsWithoutResult(): string[] {
        return [...this.records.values()].filter(({ jobId }) => !this.cancelledAtMs.has(jobId)).flatMap(record => {
            const listed = new Set(this.results.get(record.jobId)!.map(({ itemId }) => itemId));
            return record.items.map(({ id }) => id).filter(id => !listed.has(id));
        });
    }

    private checkResult(jobId: JobId, position: number, result: ItemResult, nowMs: number): void {
        const results = this.results.get(jobId)!;
        const { itemId, state } = result;
        const where = `${itemId} ${state} at position ${position}, ${nowMs} ms`;
        if (position !== results.length) {
            this.violations.push(`${where}: ${results.length} positions were taken`);
        }
        if (results.some(other => other.itemId === itemId)) {
            this.violations.push(`${where}: has a result already`);
        }
        if (!this.isAllowed(this.records.get(jobId)!, result, nowMs)) {
            this.violations.push(`${where}: output ${JSON.stringify(result.output)}`);
        }
        results.push(result);
    }

    private isAllowed(record: JobRecord, { itemId, state, output }: ItemResult, nowMs: number): boolean {
        return state === "completed"
            ? SOFTWARE_VERSIONS.some(version => this.upstreams.outputOf(itemId, version) === output)
            : nowMs > record.expiresAtMs || this.upstreams.impossible.has(itemId)
                || (this.upstreams.failures.get(itemId) ?? 0) >= record.maxAttempts;
    }
}

function toText({ itemId, state, output }: ItemResult): string {
    return `${itemId} ${state} ${output}`;
}
