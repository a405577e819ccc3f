import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ApiClient } from "./apiClient.js";

const POLL_INTERVAL_MS = 500;
const MAX_WAIT_MS = 600_000;

/** Submits one batch job of the experiment and reads its results. */
export class BatchJob {
    readonly name: string;
    readonly itemCount: number;
    private readonly opts: { api: ApiClient; clock: Clock; endpoint: string; bodyOf: (marker: string) => object; };
    private id: string | undefined;

    constructor(opts: BatchJob["opts"] & { name: string; itemCount: number; }) {
        this.opts = opts;
        this.name = opts.name;
        this.itemCount = opts.itemCount;
    }

    /** Returns the custom id of an item. It marks the item in the upstreams' records. */
    markerOf(index: number): string {
        return `${this.name}-${index}`;
    }

    /**
     * Creates the job and sends the creation request twice. Rejects with BENCH_RESEND_DIFFERS if the second response
     * names another batch.
     */
    async submit(): Promise<void> {
        const { api, endpoint, bodyOf } = this.opts;
        const lines = Array.from({ length: this.itemCount }, (_, index) => {
            const marker = this.markerOf(index);
            return `${JSON.stringify({ custom_id: marker, method: "POST", url: endpoint, body: bodyOf(marker) })}\n`;
        });
        const inputFileId = await api.upload(lines.join(""));
        this.id = await api.createBatch({ inputFileId, endpoint, idempotencyKey: this.name });
        const resentId = await api.createBatch({ inputFileId, endpoint, idempotencyKey: this.name });
        if (resentId !== this.id) {
            throw new KnapweedError(
                "BENCH_RESEND_DIFFERS",
                `${this.name}: creating the batch twice gave ${this.id} and ${resentId}`,
            );
        }
    }

    /**
     * Waits for the end of the job. Rejects with BENCH_JOB_FAILED if the job fails or is cancelled, and with
     * BENCH_JOB_STUCK if it does not end within 10 minutes.
     *
     * @returns the lines of its output and error files
     */
    async finish(): Promise<{ output: Lines; errors: Lines; }> {
        const { api, clock } = this.opts;
        const endMs = clock.nowMs() + MAX_WAIT_MS;
        while (clock.nowMs() < endMs) {
            const batch = await api.getBatch(this.id ?? "");
            if (batch.status === "completed") {
                return {
                    output: await api.readLines(batch.output_file_id),
                    errors: await api.readLines(batch.error_file_id),
                };
            }
            if (batch.status === "failed" || batch.status === "cancelled") {
                throw new KnapweedError("BENCH_JOB_FAILED", JSON.stringify(batch));
            }
            await sleep(clock, POLL_INTERVAL_MS);
        }
        throw new KnapweedError("BENCH_JOB_STUCK", JSON.stringify(await api.getBatch(this.id ?? "")));
    }
}

type Lines = Awaited<ReturnType<ApiClient["readLines"]>>;
