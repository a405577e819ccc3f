import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { ItemResult } from "../src/itemResult.js";
import { jobKeys } from "../src/jobKeys.js";
import type { JobRecord } from "../src/jobRecord.js";
import type { SimulatedUpstreams } from "./simulatedUpstreams.js";

const SOFTWARE_VERSIONS = ["v1", "v2"];
/** Time after a cancellation or removal within which items of the job may still begin, in milliseconds. */
const CANCELLATION_MS = 3000;

/** From the rule: an item may fail three times as often as its job allows, and be refused three times. */
const FAILURES_FACTOR = 3;
const MAX_REFUSALS = 3;

/** Checks each result that is stored, each page that is read and each run that begins against the promises to callers. */
export class ResultsObserver {
    readonly violations: string[] = [];
    readonly cancelledAtMs = new Map<JobId, number>();
    private readonly upstreams: SimulatedUpstreams;
    private readonly resultRetentionMs: number;
    private readonly records = new Map<JobId, JobRecord>();
    private readonly results = new Map<JobId, ItemResult[]>();
    private readonly removedAtMs = new Map<JobId, number>();

    constructor(opts: { upstreams: SimulatedUpstreams; resultRetentionMs: number; }) {
        this.upstreams = opts.upstreams;
        this.resultRetentionMs = opts.resultRetentionMs;
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

    /** Checks removed keys under the prefix of the results. Returns whether results are among them. */
    onResultsRemoved(keys: readonly string[], nowMs: number): boolean {
        const resultKeys = keys.filter(key => key.includes("/at/"));
        const jobIds = resultKeys.map(key => key.slice(jobKeys.resultsPrefix.length).split("/")[0] as JobId);
        new Set(jobIds).forEach(jobId => this.checkRemoval(jobId, nowMs));
        return resultKeys.length > 0;
    }

    /** Checks keys that were written under the prefix of the jobs. */
    onJobsStored(keys: readonly string[]): void {
        toJobIds(keys).filter(jobId => this.removedAtMs.has(jobId)).forEach(jobId =>
            this.violations.push(`${jobId} is stored after its removal`)
        );
    }

    /** Checks removed keys under the prefix of the jobs. */
    onJobsRemoved(keys: readonly string[], nowMs: number): void {
        toJobIds(keys).forEach(jobId => {
            this.checkRemoval(jobId, nowMs);
            this.removedAtMs.set(jobId, nowMs);
        });
    }

    /** Checks a page that a process has served from position `after` on. */
    onPage(jobId: JobId, after: number, page: readonly ItemResult[]): void {
        const stored = this.results.get(jobId)!.slice(after, after + page.length);
        if (JSON.stringify(page.map(toText)) !== JSON.stringify(stored.map(toText))) {
            this.violations.push(`${jobId}: a page differs from the stored results`);
        }
    }

    /** Checks an item that begins to run at a process, which has received all changes since `connectedSinceMs`. */
    onRunBegun(itemId: string, opts: { nowMs: number; connectedSinceMs: number; }): void {
        const jobId = itemId.slice(0, itemId.lastIndexOf("-")) as JobId;
        const endedAtMs = Math.min(this.cancelledAtMs.get(jobId) ?? Infinity, this.removedAtMs.get(jobId) ?? Infinity);
        if (opts.nowMs > Math.max(endedAtMs, opts.connectedSinceMs) + CANCELLATION_MS) {
            this.violations.push(`${itemId} began at ${opts.nowMs}, cancelled or removed at ${endedAtMs}`);
        }
        const failures = this.upstreams.failures.get(itemId) ?? 0;
        const refusals = this.upstreams.impossible.get(itemId) ?? 0;
        const maxFailures = FAILURES_FACTOR * this.records.get(jobId)!.maxAttempts;
        if (opts.connectedSinceMs <= opts.nowMs && (failures >= maxFailures || refusals >= MAX_REFUSALS)) {
            this.violations.push(
                `${itemId} began at ${opts.nowMs} after ${failures} failures and ${refusals} refusals`,
            );
        }
    }

    /** Returns the items of open jobs that have no result, shape [items]. */
    itemsWithoutResult(): string[] {
        return [...this.records.values()].filter(({ jobId }) => !this.cancelledAtMs.has(jobId)).flatMap(record => {
            const listed = new Set(this.results.get(record.jobId)!.map(({ itemId }) => itemId));
            return record.items.map(({ id }) => id).filter(id => !listed.has(id));
        });
    }

    /** A result stays readable for the retention time after its job was accepted, and while the job is open. */
    private checkRemoval(jobId: JobId, nowMs: number): void {
        const { acceptedAtMs, items } = this.records.get(jobId)!;
        const isOpen = this.results.get(jobId)!.length < items.length && !this.cancelledAtMs.has(jobId);
        if (isOpen || nowMs < acceptedAtMs + this.resultRetentionMs) {
            this.violations.push(`${jobId} is removed at ${nowMs}, accepted at ${acceptedAtMs}, open: ${isOpen}`);
        }
    }

    private checkResult(jobId: JobId, position: number, result: ItemResult, nowMs: number): void {
        const results = this.results.get(jobId)!;
        const { itemId, state } = result;
        const where = `${itemId} ${state} at position ${position}, ${nowMs} ms`;
        if (position !== results.length) {
            this.violations.push(`${where}: ${results.length} positions were taken`);
        }
        if (this.removedAtMs.has(jobId)) {
            this.violations.push(`${where}: its job was removed`);
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

/** Returns the jobs whose record is among `keys`, shape [jobs]. */
function toJobIds(keys: readonly string[]): JobId[] {
    return keys
        .map(key => key.slice(jobKeys.jobsPrefix.length).split("/"))
        .filter(([, part]) => part === "record")
        .map(([jobId]) => jobId as JobId);
}

function toText({ itemId, state, output }: ItemResult): string {
    return `${itemId} ${state} ${output}`;
}
