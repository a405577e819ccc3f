import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { FormData, request } from "undici";

const MAX_ATTEMPTS = 200;
const RETRY_DELAY_MS = 250;
const TIMEOUT_MS = 15_000;

/**
 * Client of the callers' API. Resends a failed request to the next entry after 250 ms, up to 200 attempts in all, then
 * rejects with BENCH_CALL_FAILED.
 */
export class ApiClient {
    private readonly opts: { entryUrls: string[]; key: string; clock: Clock; };
    private nextEntryIndex = 0;

    constructor(opts: ApiClient["opts"]) {
        this.opts = opts;
    }

    /** Uploads a batch input file. @returns the id of the file */
    async upload(text: string): Promise<string> {
        const file = await this.requestJson<{ id: string; }>("POST", "/v1/files", () => {
            const form = new FormData();
            form.append("purpose", "batch");
            form.append("file", new Blob([text]), "input.jsonl");
            return { body: form };
        });
        return file.id;
    }

    /** Creates a batch under an idempotency key. Resends go to other entries. @returns the id of the batch */
    async createBatch(opts: { inputFileId: string; endpoint: string; idempotencyKey: string; }): Promise<string> {
        const batch = await this.requestJson<{ id: string; }>("POST", "/v1/batches", () => ({
            headers: { "content-type": "application/json", "idempotency-key": opts.idempotencyKey },
            body: JSON.stringify({
                input_file_id: opts.inputFileId,
                endpoint: opts.endpoint,
                completion_window: "24h",
            }),
        }));
        return batch.id;
    }

    /** Returns the state of a batch. */
    getBatch(id: string): Promise<BatchResponse> {
        return this.requestJson("GET", `/v1/batches/${id}`, () => ({}));
    }

    /** Returns the parsed lines of a file, shape [lines]; empty if there is no file id. */
    async readLines(fileId: string | undefined | null): Promise<OutputLine[]> {
        if (fileId === undefined || fileId === null) {
            return [];
        }
        const text = await this.requestText("GET", `/v1/files/${fileId}/content`, () => ({}));
        return text.trimEnd().split("\n").map(line => JSON.parse(line) as OutputLine);
    }

    private async requestJson<Body>(
        method: "GET" | "POST",
        path: string,
        content: () => RequestContent,
    ): Promise<Body> {
        return JSON.parse(await this.requestText(method, path, content)) as Body;
    }

    private async requestText(method: "GET" | "POST", path: string, content: () => RequestContent): Promise<string> {
        let lastError = "";
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                return await this.send(method, path, content());
            }
            catch (error) {
                lastError = String(error);
            }
            await sleep(this.opts.clock, RETRY_DELAY_MS);
        }
        throw new KnapweedError(
            "BENCH_CALL_FAILED",
            `${method} ${path} still failed at the last attempt: ${lastError}`,
        );
    }

    private async send(method: "GET" | "POST", path: string, content: RequestContent): Promise<string> {
        const { entryUrls, key } = this.opts;
        const response = await request(`${entryUrls[this.nextEntryIndex++ % entryUrls.length]}${path}`, {
            method,
            headers: { authorization: `Bearer ${key}`, ...content.headers },
            body: content.body,
            headersTimeout: TIMEOUT_MS,
            bodyTimeout: TIMEOUT_MS,
        });
        const text = await response.body.text();
        if (response.statusCode !== 200) {
            throw new KnapweedError("BENCH_STATUS", `unexpected HTTP status ${response.statusCode}: ${text}`);
        }
        return text;
    }
}

interface RequestContent {
    headers?: { [name: string]: string; };
    body?: string | FormData;
}

interface BatchResponse {
    status: string;
    output_file_id?: string | null;
    error_file_id?: string | null;
    request_counts: { total: number; completed: number; failed: number; };
    errors?: unknown;
}

interface OutputLine {
    custom_id: string;
    response: { status_code: number; body: { [field: string]: unknown; }; } | null;
    error: { code: string; message: string; } | null;
}
