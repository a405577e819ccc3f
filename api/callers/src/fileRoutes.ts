import { writeJson } from "@knapweedwood/api.http/writeJson";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import { once } from "node:events";
import type { CallersApiOptions } from "./callersApiOptions.js";
import { fileObject } from "./fileObject.js";
import { readUpload } from "./readUpload.js";
import type { RequestContext } from "./requestContext.js";

/** Handles requests to `/v1/files` and the paths under it. */
export class FileRoutes {
    private readonly opts: CallersApiOptions;

    constructor(opts: CallersApiOptions) {
        this.opts = opts;
    }

    /** Handles a request. Rejects with `PATH_UNKNOWN` (404), or an error of the upload or the batch service. */
    async handle(context: RequestContext): Promise<void> {
        const [, , , fileId, part] = context.path.split("/");
        const method = context.request.method ?? "GET";
        const target = { teamId: context.caller.team.teamId, fileId: fileId as FileId };
        if (fileId === undefined) {
            return method === "POST" ? this.create(context) : this.list(context);
        }
        if (method === "DELETE") {
            await this.opts.batches.deleteFile(target);
            return writeJson(context.response, { id: fileId, object: "file", deleted: true });
        }
        if (part === "content") {
            return this.sendContent(context, target.fileId);
        }
        if (part === undefined) {
            return writeJson(context.response, fileObject(await this.opts.batches.getFile(target)));
        }
        throw new KnapweedError("PATH_UNKNOWN", `There is no endpoint at ${context.path}`, {
            statusCode: 404,
            outcome: "not-run",
        });
    }

    private async create(context: RequestContext): Promise<void> {
        const teamId = context.caller.team.teamId;
        const file = await readUpload(context.request, {
            maxBytes: this.opts.maxFileBytes,
            store: upload => this.opts.batches.createFile({ teamId, ...upload }),
        });
        writeJson(context.response, fileObject(file));
    }

    private async list(context: RequestContext): Promise<void> {
        const files = await this.opts.batches.listFiles({ teamId: context.caller.team.teamId });
        writeJson(context.response, { object: "list", data: files.map(fileObject), has_more: false });
    }

    private async sendContent(context: RequestContext, fileId: FileId): Promise<void> {
        const { response, signal } = context;
        const teamId = context.caller.team.teamId;
        const file = await this.opts.batches.getFile({ teamId, fileId });
        response.writeHead(200, {
            "content-type": "application/octet-stream",
            "content-length": String(file.sizeBytes),
            "x-knapweed-outcome": "answered",
        });
        for await (const part of this.opts.batches.readFile({ teamId, fileId })) {
            if (!response.write(part) && !signal.aborted) {
                await once(response, "drain", { signal });
            }
        }
        response.end();
    }
}
