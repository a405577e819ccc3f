import type { Random } from "@knapweedwood/core.random/random";
import { callerPaths } from "@knapweedwood/platform.standins/callerPaths";
import { decodeResultsPage } from "@knapweedwood/platform.standins/decodeResultsPage";
import { encodeSubmission } from "@knapweedwood/platform.standins/encodeSubmission";
import { CallerConnection } from "./callerConnection.js";
import type { JobRecord } from "./jobRecord.js";
import type { JobResult } from "./jobResult.js";
import { pause } from "./pause.js";
import type { SoakBalancer } from "./soakBalancer.js";
import type { SoakRecord } from "./soakRecord.js";

const SUBMIT_PATH = "/job/submit";
const ITEM_PATH = "/job/item";
const MAX_ITEMS = 8;
const MIN_EVENTS = 20;
const MAX_EVENTS = 120;
const ITEM_TOKENS = 100;
const TIMEOUT_MS = 3000;
const RETRY_MS = 300;
const READ_INTERVAL_MS = 400;
const MAX_ATTEMPTS = 6;
const HTTP_ACCEPTED = 202;
const HTTP_OK = 200;
const NOT_FOUND_STATUSES = [404, 410];

/** Submits jobs, reads their results and cancels some. */
export class SoakJobClient {
    private readonly opts: {
        name: string;
        balancer: SoakBalancer;
        record: SoakRecord;
        random: Random;
        nowMs: () => number;
        /** Share of the jobs that are cancelled while they run. */
        cancelledShare: number;
    };
    private jobCount = 0;
    private isStopped = false;

    constructor(opts: SoakJobClient["opts"]) {
        this.opts = opts;
    }

    /** Submits a job each `intervalMs` until `signal` is aborted. */
    async run(intervalMs: number, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            void this.follow(this.createJob());
            await pause(intervalMs * (0.5 + this.opts.random.next()));
        }
    }

    /** Reads no more. */
    stop(): void {
        this.isStopped = true;
    }

    /** Reads all accepted jobs from their beginning, once more. */
    async readAll(): Promise<void> {
        const accepted = this.opts.record.jobs.filter(job => job.acceptedAtMs !== undefined);
        await Promise.all(accepted.map(job => this.read(job, 0)));
    }

    private createJob(): JobRecord {
        const id = `${this.opts.name}-job-${this.jobCount++}`;
        const items = Array.from({ length: 1 + this.opts.random.nextInteger(MAX_ITEMS) }, (_, index) => ({
            id: `${id}-${index}`,
            body: JSON.stringify({
                events: MIN_EVENTS + this.opts.random.nextInteger(MAX_EVENTS),
                item: `${id}-${index}`,
            }),
        }));
        const job: JobRecord = {
            id,
            items,
            attemptStatuses: [],
            acceptedAtMs: undefined,
            cancelledAtMs: undefined,
            results: [],
            contradictions: [],
            missedAtMs: [],
        };
        this.opts.record.jobs.push(job);
        return job;
    }

    private async follow(job: JobRecord): Promise<void> {
        await this.submit(job);
        const isToCancel = this.opts.random.next() < this.opts.cancelledShare;
        while (job.acceptedAtMs !== undefined && job.results.length < job.items.length && !this.isStopped) {
            await pause(READ_INTERVAL_MS);
            await this.read(job, job.results.length);
            if (isToCancel && job.cancelledAtMs === undefined) {
                await this.cancel(job);
            }
        }
    }

    private async submit(job: JobRecord): Promise<void> {
        const body = encodeSubmission(job.items, { path: ITEM_PATH, tokensEach: ITEM_TOKENS });
        while (job.acceptedAtMs === undefined && job.attemptStatuses.length < MAX_ATTEMPTS) {
            const answer = await this.call("POST", SUBMIT_PATH, job.id, body);
            job.attemptStatuses.push(answer.statusCode);
            if (answer.statusCode === HTTP_ACCEPTED) {
                job.acceptedAtMs = this.opts.nowMs();
            }
            await pause(RETRY_MS);
        }
    }

    private async cancel(job: JobRecord): Promise<void> {
        const answer = await this.call("DELETE", `${callerPaths.jobs}${job.id}`, `${job.id}-cancel`, "");
        if (answer.statusCode === HTTP_OK) {
            job.cancelledAtMs = this.opts.nowMs();
        }
    }

    /** Reads results from a position on; later answers have to say the same as earlier ones. */
    private async read(job: JobRecord, after: number): Promise<void> {
        const path = `${callerPaths.jobs}${job.id}?after=${after}`;
        const answer = await this.call("GET", path, `${job.id}-read-${after}`, "");
        if (NOT_FOUND_STATUSES.includes(answer.statusCode)) {
            job.missedAtMs.push(this.opts.nowMs());
        }
        if (answer.statusCode !== HTTP_OK || !answer.isComplete) {
            return;
        }
        const page = decodeResultsPage(answer.body);
        if (page.total !== job.items.length) {
            job.contradictions.push(`total ${page.total}`);
        }
        page.results.forEach((result, index) => this.note(job, after + index, result));
    }

    private note(job: JobRecord, position: number, result: JobResult): void {
        const known = job.results[position];
        if (known !== undefined && JSON.stringify(known) !== JSON.stringify(result)) {
            job.contradictions.push(`position ${position}: ${known.itemId} and then ${result.itemId}`);
        }
        if (position === job.results.length) {
            job.results.push(result);
        }
    }

    private async call(method: string, path: string, id: string, body: string) {
        const connection = new CallerConnection(this.opts.balancer.pick());
        const answer = await connection.send({ method, path, id, body, timeoutMs: TIMEOUT_MS });
        connection.close();
        return answer;
    }
}
