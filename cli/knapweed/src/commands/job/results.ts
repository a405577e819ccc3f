import { Args, Flags } from "@oclif/core";
import { ApiCommand } from "../../apiCommand.js";

/** Writes the results of a job to standard output, one JSON object per line. */
export default class JobResults extends ApiCommand {
    static override description = "print the results of a batch job";
    static override args = { job: Args.string({ description: "job id", required: true }) };
    static override flags = { errors: Flags.boolean({ description: "print the failed items instead" }) };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(JobResults);
        const client = this.client(flags);
        const job = await client.get(`/v1/batches/${args.job}`);
        const fileId = job[flags.errors ? "error_file_id" : "output_file_id"];
        if (typeof fileId !== "string") {
            this.logToStderr(`Job ${args.job} has status ${String(job["status"])} and no such results file`);
            return { results: [] };
        }
        const parts: Buffer[] = [];
        for await (const part of client.stream(`/v1/files/${fileId}/content`)) {
            if (this.jsonEnabled()) {
                parts.push(Buffer.from(part));
            }
            else {
                process.stdout.write(part);
            }
        }
        const lines = Buffer.concat(parts).toString("utf8").split("\n").filter(line => line !== "");
        return { results: lines.map(line => JSON.parse(line) as unknown) };
    }
}
