import { readJson } from "@knapweedwood/api.http/readJson";
import { writeJson } from "@knapweedwood/api.http/writeJson";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { batchObject } from "./batchObject.js";
import type { CallersApiOptions } from "./callersApiOptions.js";
import { parseDuration } from "./parseDuration.js";
import type { RequestContext } from "./requestContext.js";

const DEFAULT_PAGE_LENGTH = 20;

const createSchema = z.looseObject({
    input_file_id: z.string().min(1),
    endpoint: z.string().startsWith("/"),
    completion_window: z.string().optional(),
    metadata: z.record(z.string(), z.string()).nullish(),
});

/** Handles requests to `/v1/batches` and the paths under it. */
export class BatchRoutes {
    private readonly opts: CallersApiOptions;

    constructor(opts: CallersApiOptions) {
        this.opts = opts;
    }

    /**
     * Handles a request. Rejects with `PATH_UNKNOWN` (404), `REQUEST_INVALID` (400), or an error of the body or
     * the batch service.
     */
    async handle(context: RequestContext): Promise<void> {
        const [, , , jobId, action] = context.path.split("/");
        const method = context.request.method ?? "GET";
        const target = { teamId: context.caller.team.teamId, jobId: jobId as JobId };
        if (jobId === undefined) {
            return method === "POST" ? this.create(context) : this.list(context);
        }
        if (method === "POST" && action === "cancel") {
            return writeJson(context.response, batchObject(await this.opts.batches.cancelJob(target)));
        }
        if (method === "GET" && action === undefined) {
            return writeJson(context.response, batchObject(await this.opts.batches.getJob(target)));
        }
        throw new KnapweedError("PATH_UNKNOWN", `There is no endpoint at ${method} ${context.path}`, {
            statusCode: 404,
            outcome: "not-run",
        });
    }

    private async create(context: RequestContext): Promise<void> {
        const checked = createSchema.safeParse(await readJson(context.request, this.opts.maxBodyBytes));
        if (!checked.success) {
            const issue = checked.error.issues[0];
            const parameter = issue?.path.map(String).join(".") ?? "";
            throw new KnapweedError("REQUEST_INVALID", `${parameter}: ${issue?.message ?? "is invalid"}`, {
                statusCode: 400,
                outcome: "not-run",
                parameter,
            });
        }
        const header = context.request.headers["idempotency-key"];
        const job = await this.opts.batches.createJob({
            teamId: context.caller.team.teamId,
            inputFileId: checked.data.input_file_id as FileId,
            endpoint: checked.data.endpoint,
            metadata: checked.data.metadata ?? {},
            idempotencyKey: (typeof header === "string" ? header : randomUUID()) as IdempotencyKey,
            dueMs: parseDuration(checked.data.completion_window),
        });
        writeJson(context.response, batchObject(job));
    }

    private async list(context: RequestContext): Promise<void> {
        const limit = Number(context.query.get("limit") ?? DEFAULT_PAGE_LENGTH);
        const jobs = await this.opts.batches.listJobs({
            teamId: context.caller.team.teamId,
            limit: limit + 1,
            afterJobId: (context.query.get("after") ?? undefined) as JobId | undefined,
        });
        const page = jobs.slice(0, limit);
        writeJson(context.response, {
            object: "list",
            data: page.map(batchObject),
            first_id: page.at(0)?.jobId ?? null,
            last_id: page.at(-1)?.jobId ?? null,
            has_more: jobs.length > limit,
        });
    }
}
