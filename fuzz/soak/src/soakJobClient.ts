import type { Random } from "@knapweedwood/core.random/random";
import { wireHeaders } from "@knapweedwood/platform.adapter/wireHeaders";
import { callerPaths } from "@knapweedwood/platform.standins/callerPaths";
import { decodeResultsPage } from "@knapweedwood/platform.standins/decodeResultsPage";
import { encodeSubmission } from "@knapweedwood/platform.standins/encodeSubmission";
import { CallerConnection } from "./callerConnection.js";
import { drawJobTraits } from "./drawJobTraits.js";
import type { JobRecord } from "./jobRecord.js";
import type { JobResult } from "./jobResult.js";
import { jobRoutes } from "./jobRoutes.js";
import { pause } from "./pause.js";
import type { SoakBalancer } from "./soakBalancer.js";
import type { SoakRecord } from "./soakRecord.js";
import type { SoakTeams } from "./soakTeams.js";

const MAX_ITEMS = 8;
const MIN_EVENTS = 20;
const MAX_EVENTS = 120;
const ITEM_TOKENS = 100;
const TIMEOUT_MS = 3000;
const RETRY_MS = 300;
const READ_INTERVAL_MS = 400;
/** Interval of the reads of a job whose results have all been read. */
const READ_AGAIN_INTERVAL_MS = 2000;
/** Time after the submission of a job in which its results are read again. */
const READ_AGAIN_MS = 40_000;
/** Share of the reads after which another team tries to read the job too. */
const FOREIGN_SHARE = 0.2;
const MAX_ATTEMPTS = 6;
/** Share of the jobs whose ids have slashes. */
const SLASH_SHARE = 0.15;
const HTTP_ACCEPTED = 202;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const NOT_FOUND_STATUSES = [404, 410];

/** A caller that submits batch jobs, reads their results again and again, and cancels some of the jobs. */
export class SoakJobClient {
    private readonly opts: {
        name: string;
        balancer: SoakBalancer;
        record: SoakRecord;
        random: Random;
        nowMs: () => number;
        /** Share of the jobs that are cancelled while they run. */
        cancelledShare: number;
        /** Undefined for a deployment without teams. */
        teams?: SoakTeams | undefined;
    };
    private jobCount = 0;
    private isStopped = false;

    constructor(opts: SoakJobClient["opts"]) {
        this.opts = opts;
    }

    /** Submits a job every `intervalMs` on average until `signal` is aborted. */
    async run(intervalMs: number, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            void this.submitAndPoll(this.createJob());
            await pause(intervalMs * (0.5 + this.opts.random.next()));
        }
    }

    /** Stops polling for results. */
    stop(): void {
        this.isStopped = true;
    }

    /** Reads the results of all accepted jobs once more, from the first position. */
    async readAllResults(): Promise<void> {
        const accepted = this.opts.record.jobs.filter(job => job.acceptedAtMs !== undefined);
        await Promise.all(accepted.map(job => this.readResults(job, 0)));
    }

    private createJob(): JobRecord {
        const { random } = this.opts;
        const separator = random.next() < SLASH_SHARE ? "/" : "-";
        const id = [this.opts.name, "job", this.jobCount++].join(separator);
        const traits = drawJobTraits(random);
        const items = Array.from({ length: traits.items ?? 1 + random.nextInteger(MAX_ITEMS) }, (_, index) => ({
            id: `${id}-${index}`,
            body: JSON.stringify({
                events: traits.items === undefined ? MIN_EVENTS + random.nextInteger(MAX_EVENTS) : 1,
                item: `${id}-${index}`,
            }),
        }));
        const job: JobRecord = {
            id,
            route: jobRoutes[this.opts.random.nextInteger(jobRoutes.length)]!,
            team: this.opts.teams?.randomTeam(),
            items,
            traits,
            submittedAtMs: this.opts.nowMs(),
            attemptStatuses: [],
            acceptedAtMs: undefined,
            cancelledAtMs: undefined,
            results: [],
            readAtMs: [],
            contradictions: [],
            missedAtMs: [],
        };
        this.opts.record.jobs.push(job);
        return job;
    }

    /**
     * Submits a job and reads its results until `stop`. Once they are complete, they are read again for `READ_AGAIN_MS`,
     * at random either all of them or those behind the last position.
     */
    private async submitAndPoll(job: JobRecord): Promise<void> {
        await this.submit(job);
        const shouldCancel = this.opts.random.next() < this.opts.cancelledShare;
        const isOpen = () => job.results.length < job.items.length;
        const mayReadAgain = () => this.opts.nowMs() < job.submittedAtMs + READ_AGAIN_MS;
        while (job.acceptedAtMs !== undefined && (isOpen() || mayReadAgain()) && !this.isStopped) {
            const isFirstRead = isOpen();
            await pause(isFirstRead ? READ_INTERVAL_MS : READ_AGAIN_INTERVAL_MS);
            await this.readResults(job, isFirstRead || this.opts.random.next() < 0.5 ? job.results.length : 0);
            await this.readForeign(job);
            if (shouldCancel && isFirstRead && job.cancelledAtMs === undefined) {
                await this.cancel(job);
            }
        }
    }

    private async submit(job: JobRecord): Promise<void> {
        const body = encodeSubmission(job.items, {
            path: `/${job.route.name}/item`,
            tokensEach: ITEM_TOKENS,
            headers: job.traits.headers,
        });
        const isFinal = () => job.acceptedAtMs !== undefined || job.attemptStatuses.includes(HTTP_BAD_REQUEST);
        while (!isFinal() && job.attemptStatuses.length < MAX_ATTEMPTS) {
            const response = await this.call("POST", `/${job.route.name}/submit`, job.id, { body, team: job.team });
            job.attemptStatuses.push(response.statusCode);
            if (response.statusCode === HTTP_ACCEPTED) {
                job.acceptedAtMs = this.opts.nowMs();
            }
            await pause(RETRY_MS);
        }
    }

    private async cancel(job: JobRecord): Promise<void> {
        const response = await this.call(
            "DELETE",
            `${callerPaths.jobs}${encodeURIComponent(job.id)}`,
            `${job.id}-cancel`,
            {
                body: "",
                team: job.team,
            },
        );
        if (response.statusCode === HTTP_OK) {
            job.cancelledAtMs = this.opts.nowMs();
        }
    }

    /** Reads results from a position on. Differences from earlier reads are recorded as contradictions. */
    private async readResults(job: JobRecord, after: number): Promise<void> {
        const path = `${callerPaths.jobs}${encodeURIComponent(job.id)}?after=${after}`;
        const response = await this.call("GET", path, `${job.id}-read-${after}`, { body: "", team: job.team });
        if (NOT_FOUND_STATUSES.includes(response.statusCode)) {
            job.missedAtMs.push(this.opts.nowMs());
        }
        if (response.statusCode !== HTTP_OK || !response.isComplete) {
            return;
        }
        const page = decodeResultsPage(response.body);
        if (page.total !== job.items.length) {
            job.contradictions.push(`total ${page.total}`);
        }
        page.results.forEach((result, index) => this.recordResult(job, after + index, result));
    }

    private recordResult(job: JobRecord, position: number, result: JobResult): void {
        const earlier = job.results[position];
        if (earlier !== undefined && JSON.stringify(earlier) !== JSON.stringify(result)) {
            job.contradictions.push(`position ${position}: ${earlier.itemId} and then ${result.itemId}`);
        }
        if (position === job.results.length) {
            job.results.push(result);
            job.readAtMs.push(this.opts.nowMs());
        }
    }

    private async readForeign(job: JobRecord): Promise<void> {
        const team = this.opts.teams?.randomTeam();
        if (team !== undefined && team !== job.team && this.opts.random.next() < FOREIGN_SHARE) {
            const path = `${callerPaths.jobs}${encodeURIComponent(job.id)}?after=0`;
            const { statusCode } = await this.call("GET", path, `${job.id}-foreign`, { body: "", team });
            this.opts.record.foreignReads.push({ jobId: job.id, team, statusCode });
        }
    }

    private async call(method: string, path: string, id: string, opts: { body: string; team: string | undefined; }) {
        const { body, team } = opts;
        const key = team === undefined ? undefined : this.opts.teams?.validKey(team).key;
        const headers: { [name: string]: string; } = key === undefined ? {} : { [wireHeaders.key]: key };
        const connection = new CallerConnection(this.opts.balancer.pick());
        const response = await connection.send({ method, path, id, body, headers, timeoutMs: TIMEOUT_MS });
        connection.close();
        return response;
    }
}
