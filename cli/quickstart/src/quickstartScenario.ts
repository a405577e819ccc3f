import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { DemoDeployment } from "@knapweedwood/daemons.embedded/demoDeployment";
import { JsonLogger } from "@knapweedwood/observability.logs/jsonLogger";
import { silentTracer } from "@knapweedwood/observability.traces/silentTracer";
import { randomBytes } from "node:crypto";
import { buildBatchInput } from "./buildBatchInput.js";
import { OnlineCaller } from "./onlineCaller.js";
import type { QuickstartOutcome } from "./quickstartOutcome.js";

const KEY_BYTES = 24;
const PROGRESS_INTERVAL_MS = 500;
const JOB_TIMEOUT_MS = 120_000;
const FINAL_STATES = new Set(["completed", "failed", "cancelled"]);

interface Batch {
    id: string;
    status: string;
    output_file_id: string | null;
    error_file_id: string | null;
    request_counts: { total: number; completed: number; failed: number; };
}

interface OutputLine {
    custom_id: string;
    response: { status_code: number; body: { error?: { code: string; }; }; } | null;
    error: { code: string; } | null;
}

/** Runs online calls and a batch job on one embedded deployment, and crashes one side during the job. */
export class QuickstartScenario {
    private readonly clock = new SystemClock();
    private readonly key = randomBytes(KEY_BYTES).toString("base64url");
    private readonly demo: DemoDeployment;
    private readonly opts: {
        itemCount: number;
        failingItems: Set<number>;
        seed: number;
        onProgress: (line: string) => void;
    };

    constructor(opts: QuickstartScenario["opts"]) {
        this.opts = opts;
        this.demo = new DemoDeployment({
            port: 0,
            seed: opts.seed,
            operatorKey: this.key,
            logger: new JsonLogger({ clock: this.clock, level: "error" }),
            tracer: silentTracer,
        });
    }

    /**
     * Runs the scenario. Rejects with `QUICKSTART_TIMEOUT` if the job takes longer than 2 minutes, or with
     * `QUICKSTART_CALL_FAILED` if a call of the batch API has a status other than 200.
     */
    async run(): Promise<QuickstartOutcome> {
        this.opts.onProgress("starting 2 entries, 3 model engines and 1 plain service with their sides");
        await this.demo.start();
        const { deployment } = this.demo;
        const online = new OnlineCaller({
            urls: [deployment.url(0), deployment.url(1)],
            key: this.key,
            clock: this.clock,
        });
        online.start();
        const batch = await this.submit();
        this.opts.onProgress(`job ${batch.id} accepted`);
        const finished = await this.waitForJob(batch.id);
        await online.stop();
        const outcome = await this.buildOutcome(finished, online);
        await this.demo.stop();
        return outcome;
    }

    private async submit(): Promise<Batch> {
        const form = new FormData();
        form.set("purpose", "batch");
        form.set("file", new Blob([buildBatchInput(this.opts)]), "lots.jsonl");
        const file = await this.call("POST", "/v1/files", form) as { id: string; };
        const job = { input_file_id: file.id, endpoint: "/v1/chat/completions", completion_window: "1h" };
        return await this.call("POST", "/v1/batches", JSON.stringify(job)) as Batch;
    }

    /** Reports progress until the job has ended. Crashes a side once more than a fifth of the items have completed. */
    private async waitForJob(jobId: string): Promise<Batch> {
        const endMs = this.clock.nowMs() + JOB_TIMEOUT_MS;
        let isSideKilled = false;
        while (this.clock.nowMs() < endMs) {
            const batch = await this.call("GET", `/v1/batches/${jobId}`) as Batch;
            const { total, completed, failed } = batch.request_counts;
            this.opts.onProgress(`${batch.status}: ${completed} completed, ${failed} failed of ${total}`);
            if (FINAL_STATES.has(batch.status)) {
                return batch;
            }
            if (!isSideKilled && completed > total / 5) {
                isSideKilled = true;
                this.opts.onProgress("killing side-1");
                await this.demo.deployment.crashSide(0);
            }
            await sleep(this.clock, PROGRESS_INTERVAL_MS);
        }
        throw new KnapweedError("QUICKSTART_TIMEOUT", "The batch job did not finish before the timeout");
    }

    private async buildOutcome(batch: Batch, online: OnlineCaller): Promise<QuickstartOutcome> {
        const output = await this.readLines(batch.output_file_id);
        const errors = await this.readLines(batch.error_file_id);
        const ids = [...output, ...errors].map(line => line.custom_id);
        const expectedIds = Array.from({ length: this.opts.itemCount }, (_, index) => `lot-${index}`);
        const seen = new Set(ids);
        return {
            callsSent: online.results.length,
            callsAnswered: online.results.filter(result => result.isAnswered).length,
            callsWrong: online.results.filter(result => result.isAnswered && !result.isCorrect).length,
            latenciesMs: online.results.map(result => result.latencyMs),
            itemsAccepted: this.opts.itemCount,
            itemsCompleted: output.length,
            failures: errors.map(line => ({ customId: line.custom_id, code: errorCodeOf(line) })),
            itemsLost: expectedIds.filter(id => !seen.has(id)).length,
            itemsDuplicated: ids.length - seen.size,
        };
    }

    private async readLines(fileId: string | null): Promise<OutputLine[]> {
        if (fileId === null) {
            return [];
        }
        const response = await this.fetch("GET", `/v1/files/${fileId}/content`);
        const text = await response.text();
        return text.split("\n").filter(line => line !== "").map(line => JSON.parse(line) as OutputLine);
    }

    private async call(method: string, path: string, body?: string | FormData): Promise<unknown> {
        return (await this.fetch(method, path, body)).json();
    }

    private async fetch(method: string, path: string, body?: string | FormData): Promise<Response> {
        const json = typeof body === "string" ? { "content-type": "application/json" } : {};
        const response = await fetch(`${this.demo.deployment.url()}${path}`, {
            method,
            body,
            headers: { authorization: `Bearer ${this.key}`, ...json } as { [name: string]: string; },
        });
        if (response.status !== 200) {
            throw new KnapweedError("QUICKSTART_CALL_FAILED", `${method} ${path}: ${await response.text()}`);
        }
        return response;
    }
}

function errorCodeOf(line: OutputLine): string {
    return line.error?.code ?? line.response?.body.error?.code ?? "unknown";
}
