import { Args } from "@oclif/core";
import { ApiCommand } from "../../apiCommand.js";

/** Shows a batch job. */
export default class JobShow extends ApiCommand {
    static override description = "show a batch job";
    static override args = { job: Args.string({ description: "job id", required: true }) };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(JobShow);
        const job = await this.client(flags).get(`/v1/batches/${args.job}`);
        this.log(JSON.stringify(job, undefined, 4));
        return job;
    }
}
