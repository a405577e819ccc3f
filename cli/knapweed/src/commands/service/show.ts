import { Args } from "@oclif/core";
import { ApiCommand } from "../../apiCommand.js";

/** Shows a service of the active configuration. */
export default class ServiceShow extends ApiCommand {
    static override description = "show a service";
    static override args = { service: Args.string({ description: "name of the service", required: true }) };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(ServiceShow);
        const service = await this.client(flags).get(`/admin/v1/services/${encodeURIComponent(args.service)}`);
        this.log(JSON.stringify(service, undefined, 4));
        return service;
    }
}
