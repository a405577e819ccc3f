import { ApiCommand } from "../../apiCommand.js";
import { formatTable } from "../../formatTable.js";

interface BatchObject {
    id: string;
    status: string;
    request_counts: { total: number; completed: number; failed: number; };
}

/** Lists the team's batch jobs. */
export default class JobList extends ApiCommand {
    static override description = "list batch jobs";

    async run(): Promise<unknown> {
        const { flags } = await this.parse(JobList);
        const response = await this.client(flags).get("/v1/batches?limit=100");
        const jobs = response["data"] as BatchObject[];
        const rows = jobs.map(({ id, status, request_counts: counts }) => [
            id,
            status,
            counts.total,
            counts.completed,
            counts.failed,
        ]);
        this.log(formatTable(["JOB", "STATE", "ITEMS", "COMPLETED", "FAILED"], rows));
        return response;
    }
}
