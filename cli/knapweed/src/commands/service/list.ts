import { ApiCommand } from "../../apiCommand.js";
import { formatTable } from "../../formatTable.js";

interface ServiceObject {
    name: string;
    team: string;
    kind: string;
    replicas?: number;
    models: { name: string; version: string; }[];
}

/** Lists the services of the active configuration. */
export default class ServiceList extends ApiCommand {
    static override description = "list services";

    async run(): Promise<unknown> {
        const { flags } = await this.parse(ServiceList);
        const response = await this.client(flags).get("/admin/v1/services");
        const rows = (response["services"] as ServiceObject[]).map(service => [
            service.name,
            service.team,
            service.kind,
            service.replicas ?? "all",
            service.models.map(model => `${model.name}:${model.version}`).join(","),
        ]);
        this.log(formatTable(["SERVICE", "TEAM", "KIND", "REPLICAS", "MODELS"], rows));
        return response;
    }
}
