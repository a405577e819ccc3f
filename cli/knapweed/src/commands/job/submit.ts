import { Args, Flags } from "@oclif/core";
import { openAsBlob } from "node:fs";
import path from "node:path";
import { ApiCommand } from "../../apiCommand.js";

/** Uploads a file of items and creates a batch job from it. */
export default class JobSubmit extends ApiCommand {
    static override description = "submit a batch job";
    static override args = {
        file: Args.file({ description: "file of items, one JSON object per line", required: true }),
    };
    static override flags = {
        endpoint: Flags.string({ description: "API path that each item is sent to", default: "/v1/chat/completions" }),
        due: Flags.string({ description: "time until the job is due, such as 24h", default: "24h" }),
        "idempotency-key": Flags.string({
            description: "idempotency key; a repeated submission with the same key returns the same job",
        }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(JobSubmit);
        const client = this.client(flags);
        const content = await openAsBlob(args.file);
        const file = await client.upload({ fileName: path.basename(args.file), content });
        const key = flags["idempotency-key"];
        const job = await client.post(
            "/v1/batches",
            { input_file_id: file["id"], endpoint: flags.endpoint, completion_window: flags.due },
            key === undefined ? {} : { "idempotency-key": key },
        );
        this.log(`${String(job["id"])}  ${String(job["status"])}`);
        return job;
    }
}
