import { createBatchBody } from "./createBatchBody.js";
import { createRandom } from "./createRandom.js";
import type { MixedTestBed } from "./mixedTestBed.js";

const BOUNDARY = "knapweed-bench-boundary";

/** A batch job with enough items to keep the fleet busy for a slice. */
export class BatchJob {
    private readonly testBed: MixedTestBed;
    private readonly jobId: string;

    private constructor(testBed: MixedTestBed, jobId: string) {
        this.testBed = testBed;
        this.jobId = jobId;
    }

    /** Uploads a file of `items` items and creates a job for it. */
    static async submit(
        testBed: MixedTestBed,
        opts: { seed: number; model: string; items: number; },
    ): Promise<BatchJob> {
        const random = createRandom(opts.seed);
        const lines = Array.from({ length: opts.items }, (_, index) =>
            JSON.stringify({
                custom_id: `item-${index}`,
                method: "POST",
                url: "/v1/chat/completions",
                body: createBatchBody(random, opts.model),
            }));
        const file = await testBed.call(
            "POST",
            "/v1/files",
            multipartOf(lines),
            `multipart/form-data; boundary=${BOUNDARY}`,
        );
        const job = await testBed.call(
            "POST",
            "/v1/batches",
            JSON.stringify({ input_file_id: file.id, endpoint: "/v1/chat/completions", completion_window: "24h" }),
        );
        return new BatchJob(testBed, String(job.id));
    }

    /** Cancels the job. Returns the number of items completed so far. */
    async cancel(): Promise<number> {
        const job = await this.testBed.call("POST", `/v1/batches/${this.jobId}/cancel`, "{}");
        return (job.request_counts as { completed: number; }).completed;
    }
}

function multipartOf(lines: string[]): string {
    return [
        `--${BOUNDARY}`,
        'content-disposition: form-data; name="purpose"',
        "",
        "batch",
        `--${BOUNDARY}`,
        'content-disposition: form-data; name="file"; filename="bench.jsonl"',
        "content-type: application/jsonl",
        "",
        lines.join("\n"),
        `--${BOUNDARY}--`,
        "",
    ].join("\r\n");
}
