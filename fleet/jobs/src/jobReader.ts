import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import { HELD_JOBS_WRITE_MS } from "./heldJobsWriteMs.js";
import type { JobCaller } from "./jobCaller.js";
import { jobKeys } from "./jobKeys.js";
import type { JobTable } from "./jobTable.js";
import { mayAccessJob } from "./mayAccessJob.js";
import type { OpenJob } from "./openJob.js";
import type { ResultsPage } from "./resultsPage.js";

interface JobReaderOptions {
    clock: Clock;
    service: SnapshotKeyValueService;
    table: JobTable;
    /** Returns the fencing number under which the table is certain to match the stored jobs; undefined if it isn't. */
    currentFencingNumber: () => number | undefined;
    /** Time since which the key-value service has responded without a failure, Unix ms. */
    reachableSinceMs: () => number;
    /** Whether the table contains every job that was accepted under earlier leaders, also those only held on disks. */
    knowsHeldJobs: () => boolean;
    /**
     * Adds to the table the jobs that the runners hold on disks. Resolves to whether every job that was accepted before the
     * call and isn't stored is certain to be in the table.
     */
    collectHeldJobs: () => Promise<boolean>;
    /** Applies entries of a job that the watch has not delivered yet. */
    apply: (entries: KeyValueEntry[]) => void;
}

/** Serves reads of jobs. Methods reject with `JOBS_NOT_LED` or `JOBS_NOT_SETTLED` if the result would be uncertain. */
export class JobReader {
    private readonly opts: JobReaderOptions;

    constructor(opts: JobReaderOptions) {
        this.opts = opts;
    }

    /**
     * Returns results of a job; undefined if the team of the caller certainly has no such job.
     *
     * @param opts.caller undefined while the configuration has no teams
     * @param opts.after position of the first requested result
     * @param opts.waitMs time to wait if there is no such result yet, in milliseconds
     * @param opts.signal ends the wait
     */
    async results(
        opts: { jobId: JobId; caller?: JobCaller; after: number; waitMs: number; signal: AbortSignal; },
    ): Promise<ResultsPage | undefined> {
        const job = await this.find(opts.jobId);
        if (job === undefined || !mayAccessJob(job.record, opts.caller)) {
            return undefined;
        }
        if (job.resultCount <= opts.after && !job.isEnded && opts.waitMs > 0) {
            await this.waitForResult(job, opts.waitMs, opts.signal);
        }
        this.assertCurrent();
        return job.page(opts.after);
    }

    /**
     * Returns the body of an item; undefined if the team of the caller certainly has no such item.
     *
     * @param opts.caller undefined while the configuration has no teams
     */
    async itemBody(opts: { jobId: JobId; itemId: ItemId; caller?: JobCaller; }): Promise<Buffer | undefined> {
        const job = await this.find(opts.jobId);
        const item = job !== undefined && mayAccessJob(job.record, opts.caller) ? job.item(opts.itemId) : undefined;
        return item === undefined ? undefined : job!.bodyOf(item);
    }

    private async find(jobId: JobId): Promise<OpenJob | undefined> {
        const fencingNumber = this.assertCurrent();
        const job = this.opts.table.get(jobId);
        if (job?.isLoaded === true) {
            return job;
        }
        // The watch may lag behind an acceptance.
        return await this.findStored(jobId, fencingNumber) ?? this.findHeld(jobId, fencingNumber);
    }

    private async findStored(jobId: JobId, fencingNumber: number): Promise<OpenJob | undefined> {
        if (await this.opts.service.get(jobKeys.record(jobId)) === undefined) {
            return undefined;
        }
        const { entries } = await this.opts.service.snapshot(jobKeys.jobPrefix(jobId));
        // Under another leadership the job may have been removed since.
        this.assertSameLeadership(fencingNumber);
        this.opts.apply(entries);
        return this.opts.table.get(jobId);
    }

    /**
     * Looks for a job that isn't stored among those that runners hold on disks. All of them are asked, since some may have
     * accepted the job without this process, and may not have written it since.
     */
    private async findHeld(jobId: JobId, fencingNumber: number): Promise<OpenJob | undefined> {
        this.assertHeldJobsKnown();
        const known = this.opts.table.get(jobId);
        if (known !== undefined) {
            return known;
        }
        if (!await this.opts.collectHeldJobs()) {
            throw notSettled();
        }
        this.assertSameLeadership(fencingNumber);
        // A runner may have stored the job before it was asked.
        return this.opts.table.get(jobId) ?? this.findStored(jobId, fencingNumber);
    }

    /**
     * Throws `JOBS_NOT_SETTLED` while too few runners have said which jobs they hold, and for a short time after an
     * outage, while held jobs are still being written.
     */
    private assertHeldJobsKnown(): void {
        const { clock, reachableSinceMs, knowsHeldJobs } = this.opts;
        if (!knowsHeldJobs() || clock.nowMs() < reachableSinceMs() + HELD_JOBS_WRITE_MS) {
            throw notSettled();
        }
    }

    private assertSameLeadership(fencingNumber: number): void {
        if (this.assertCurrent() !== fencingNumber) {
            throw notLed();
        }
    }

    /** Returns the fencing number of the present leadership. */
    private assertCurrent(): number {
        const fencingNumber = this.opts.currentFencingNumber();
        if (fencingNumber === undefined) {
            throw notLed();
        }
        return fencingNumber;
    }

    private waitForResult(job: OpenJob, waitMs: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                timer.cancel();
                unsubscribe();
                signal.removeEventListener("abort", finish);
                resolve();
            };
            const timer = this.opts.clock.setTimer(waitMs, finish);
            const unsubscribe = job.onNextResult(finish);
            signal.addEventListener("abort", finish, { once: true });
        });
    }
}

function notLed(): KnapweedError {
    return new KnapweedError("JOBS_NOT_LED", "This process is not the jobs leader or has not loaded the jobs yet", {
        outcome: "not-run",
    });
}

function notSettled(): KnapweedError {
    return new KnapweedError("JOBS_NOT_SETTLED", "Jobs held during an outage may not be written yet", {
        outcome: "not-run",
    });
}
