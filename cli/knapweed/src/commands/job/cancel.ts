import { Args } from "@oclif/core";
import { ApiCommand } from "../../apiCommand.js";

/** Cancels a batch job. */
export default class JobCancel extends ApiCommand {
    static override description = "cancel a batch job";
    static override args = { job: Args.string({ description: "job id", required: true }) };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(JobCancel);
        const job = await this.client(flags).post(`/v1/batches/${args.job}/cancel`, {});
        this.log(JSON.stringify(job, undefined, 4));
        return job;
    }
}
