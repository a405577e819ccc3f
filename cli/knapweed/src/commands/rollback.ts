import { Args } from "@oclif/core";
import { ApiCommand } from "../apiCommand.js";

/** Publishes the configuration of an earlier revision again, as a new and higher revision. */
export default class Rollback extends ApiCommand {
    static override description = "publish the configuration of an earlier revision again";
    static override args = { revision: Args.integer({ description: "revision to restore", required: true }) };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(Rollback);
        const response = await this.client(flags).post("/admin/v1/configuration/rollback", { revision: args.revision });
        this.log(`Published revision ${String(response["revision"])}`);
        return response;
    }
}
