import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Fleet } from "./fleet.js";
import type { Oracle } from "./oracle.js";
import type { SimulatedEntry } from "./simulatedEntry.js";
import type { ItemBehaviour } from "./step.js";
import type { Submission } from "./submission.js";

const TEAM = "team-a" as TeamId;
const JOB_DUE_MS = 60_000;
const UPLOAD_ATTEMPTS = 3;
const ENDPOINTS = { chat: "/v1/chat/completions", ledger: "/services/ledger/receipts" };

/** A simulated caller that submits and cancels jobs. Its requests run concurrently with the steps, as they may hang. */
export class JobClient {
    private readonly fleet: Fleet;
    private readonly oracle: Oracle;

    constructor(opts: { fleet: Fleet; oracle: Oracle; }) {
        this.fleet = opts.fleet;
        this.oracle = opts.oracle;
    }

    /** Uploads the items and creates the job at `entry` and, if given, at `secondEntry` concurrently. */
    async submit(
        entry: SimulatedEntry,
        opts: {
            key: number;
            service: "chat" | "ledger";
            behaviours: ItemBehaviour[];
            secondEntry: SimulatedEntry | undefined;
        },
    ): Promise<void> {
        const endpoint = ENDPOINTS[opts.service];
        const jobNumber = this.oracle.submissions.length;
        const bodies = opts.behaviours.map((behaviour, index) => ({
            model: "demo",
            text: `job ${jobNumber} item ${index}`,
            behaviour,
        }));
        const content = bodies.map((body, index) =>
            `${JSON.stringify({ custom_id: `c${index}`, method: "POST", url: endpoint, body })}\n`
        );
        const inputFileId = await this.upload(entry, content);
        if (inputFileId === undefined) {
            return;
        }
        const submission: Submission = {
            idempotencyKey: `job-${jobNumber}-${opts.key}` as IdempotencyKey,
            endpoint,
            inputFileId,
            bodies,
            sentCount: 0,
            notRunCount: 0,
            jobId: undefined,
            cancelledAtMs: undefined,
            cancelWasSent: false,
        };
        this.oracle.submissions.push(submission);
        const entries = [entry, opts.secondEntry].filter(target => target !== undefined);
        await Promise.all(entries.map(target => this.send(target, submission)));
    }

    /**
     * Sends the request that creates the job, for the first time or again with the same idempotency key.
     *
     * Never rejects; rejections as not run are counted in the submission.
     */
    async send(entry: SimulatedEntry, submission: Submission): Promise<void> {
        submission.sentCount += 1;
        const { idempotencyKey, endpoint, inputFileId } = submission;
        try {
            const job = await entry.batchService.createJob({
                teamId: TEAM,
                inputFileId,
                endpoint,
                metadata: {},
                idempotencyKey,
                dueMs: JOB_DUE_MS,
            });
            this.oracle.recordAcknowledgement(submission, job.jobId);
        }
        catch (error) {
            submission.notRunCount += Number(error instanceof KnapweedError && error.outcome === "not-run");
        }
    }

    /** Cancels the job if its creation is acknowledged, and records when a cancel was first acknowledged. */
    async cancel(entry: SimulatedEntry, submission: Submission): Promise<void> {
        const { jobId } = submission;
        if (jobId === undefined) {
            return;
        }
        submission.cancelWasSent = true;
        const job = await entry.batchService.cancelJob({ teamId: TEAM, jobId }).catch(() => undefined);
        if (job?.state === "cancelling" || job?.state === "cancelled") {
            submission.cancelledAtMs ??= this.fleet.clock.nowMs();
        }
    }

    private async upload(entry: SimulatedEntry, lines: string[]): Promise<FileId | undefined> {
        const content = async function*() {
            yield* lines.map(line => Buffer.from(line));
        };
        for (let attempt = 0; attempt < UPLOAD_ATTEMPTS; attempt++) {
            const file = await entry.batchService
                .createFile({ teamId: TEAM, fileName: "input.jsonl", purpose: "batch", content: content() })
                .catch(() => undefined);
            if (file !== undefined) {
                return file.fileId;
            }
        }
        return undefined;
    }
}
