import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { decodeKeySegment } from "@knapweedwood/core.key-value/decodeKeySegment";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { assembleJobRecord } from "./assembleJobRecord.js";
import type { HeldJob } from "./heldJob.js";
import { isSameTokenGroup } from "./isSameTokenGroup.js";
import type { ItemProgress } from "./itemProgress.js";
import type { ItemResult } from "./itemResult.js";
import { jobKeys } from "./jobKeys.js";
import type { ListedItems } from "./listedItems.js";
import { OpenJob } from "./openJob.js";
import { PART_BYTES } from "./partBytes.js";
import type { TokenGroup } from "./tokenGroup.js";

/** In-memory table of the stored jobs, assembled from their key-value entries. */
export class JobTable {
    private readonly jobs = new Map<JobId, OpenJob>();
    /** Entries of jobs whose record, or a part of whose items, has not arrived yet. */
    private unmatchedEntries: KeyValueEntry[] = [];
    private unmatchedResults: KeyValueEntry[] = [];
    /** Revisions at which jobs were removed. A listing that began before may still bring their entries. */
    private readonly removedAtRevision = new Map<JobId, number>();

    all(): OpenJob[] {
        return [...this.jobs.values()];
    }

    get(jobId: JobId): OpenJob | undefined {
        return this.jobs.get(jobId);
    }

    /** Removes all jobs. Returns those that were open, shape [jobs]. */
    clear(): OpenJob[] {
        const open = this.all().filter(job => !job.isEnded);
        this.jobs.clear();
        this.unmatchedEntries = [];
        this.unmatchedResults = [];
        this.removedAtRevision.clear();
        return open;
    }

    /** Restores the progress of items from jobs that this process had loaded before. */
    restoreFrom(earlier: readonly OpenJob[]): void {
        earlier.forEach(job => {
            const current = this.jobs.get(job.record.jobId);
            job.itemsWithProgress().forEach(item => current?.restoreProgress(item.index, item));
        });
    }

    /** Removes a job whose entries were removed from the key-value service at `revision`. */
    delete(jobId: JobId, revision: number): void {
        this.jobs.delete(jobId);
        this.removedAtRevision.set(jobId, revision);
    }

    /** Applies entries of accepted jobs. Returns the jobs cancelled by these entries, shape [jobs]. */
    apply(entries: readonly KeyValueEntry[]): OpenJob[] {
        const keyed = [...this.unmatchedEntries, ...entries]
            .map(entry => ({ entry, ...parseKey(entry.key) }))
            .filter(({ entry, jobId }) => entry.modRevision > (this.removedAtRevision.get(jobId) ?? 0));
        const byKey = new Map(keyed.map(({ entry }) => [entry.key, entry.value]));
        keyed.filter(({ part, jobId }) => part === "record" && !this.jobs.has(jobId)).forEach(({ entry, jobId }) => {
            const record = assembleJobRecord(entry.value, index => byKey.get(jobKeys.items(jobId, index)));
            if (record !== undefined) {
                this.jobs.set(jobId, new OpenJob(record));
            }
        });
        this.retryUnmatchedResults();
        this.unmatchedEntries = keyed.filter(({ jobId }) => !this.jobs.has(jobId)).map(({ entry }) => entry);
        return keyed.flatMap(({ entry, jobId, part }) => {
            const job = this.jobs.get(jobId);
            if (job === undefined) {
                return [];
            }
            if (part.startsWith("part/")) {
                job.setPart(Number(part.slice("part/".length)), entry.value);
            }
            if (part !== "cancelled" || job.isCancelled) {
                return [];
            }
            job.isCancelled = true;
            return [job];
        });
    }

    /** Applies stored results and progress. Results have to be in the order of their keys. */
    applyResults(entries: readonly KeyValueEntry[]): void {
        entries.forEach(entry => {
            const [segment, kind, number] = entry.key.slice(jobKeys.resultsPrefix.length).split("/");
            const job = this.jobs.get(decodeKeySegment(segment!) as JobId);
            if (job === undefined) {
                this.unmatchedResults.push(entry);
            }
            else if (kind === "at") {
                job.addResult(Number(number), decodeRecord<ItemResult>(entry.value));
            }
            else if (kind === "listed") {
                job.restoreList(entry.modRevision, decodeRecord<ListedItems>(entry.value));
            }
            else {
                job.restoreProgress(Number(number), decodeRecord<ItemProgress>(entry.value));
            }
        });
    }

    /** Adds a job that is held on disk and may not be in the key-value service yet. Ignores a removed one. */
    applyHeld({ record, bodies }: HeldJob): void {
        if (this.jobs.has(record.jobId) || this.removedAtRevision.has(record.jobId)) {
            return;
        }
        const job = new OpenJob(record);
        Array.from({ length: record.partCount }, (_, index) => index)
            .forEach(index => job.setPart(index, bodies.subarray(index * PART_BYTES, (index + 1) * PART_BYTES)));
        this.jobs.set(record.jobId, job);
        this.retryUnmatchedResults();
    }

    /** Returns the tokens of all items of a route and team without a result, except those of the jobs of `except`. */
    waitingTokens(group: TokenGroup, except: ReadonlySet<JobId>): number {
        return this.all()
            .filter(({ record, isEnded }) => isSameTokenGroup(record, group) && !except.has(record.jobId) && !isEnded)
            .flatMap(job => job.items)
            .filter(item => item.state === "pending" || item.state === "running")
            .reduce((sum, item) => sum + item.record.tokens, 0);
    }

    /** Returns the ended jobs whose record is among `entries`, shape [jobs]. */
    findEnded(entries: readonly KeyValueEntry[]): OpenJob[] {
        return entries
            .map(entry => parseKey(entry.key))
            .filter(({ part }) => part === "record")
            .flatMap(({ jobId }) => this.jobs.get(jobId) ?? [])
            .filter(job => job.isEnded);
    }

    private retryUnmatchedResults(): void {
        this.applyResults(this.unmatchedResults.splice(0));
    }
}

function parseKey(key: string): { jobId: JobId; part: string; } {
    const rest = key.slice(jobKeys.jobsPrefix.length);
    const slash = rest.indexOf("/");
    return { jobId: decodeKeySegment(rest.slice(0, slash)) as JobId, part: rest.slice(slash + 1) };
}
