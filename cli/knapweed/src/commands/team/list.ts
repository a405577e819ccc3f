import { ApiCommand } from "../../apiCommand.js";
import { formatTable } from "../../formatTable.js";

interface TeamObject {
    teamId: string;
    displayName: string;
    weight: number;
}

/** Lists the teams. */
export default class TeamList extends ApiCommand {
    static override description = "list teams";

    async run(): Promise<unknown> {
        const { flags } = await this.parse(TeamList);
        const response = await this.client(flags).get("/admin/v1/teams");
        const rows = (response["teams"] as TeamObject[]).map(team => [team.teamId, team.displayName, team.weight]);
        this.log(formatTable(["TEAM", "NAME", "WEIGHT"], rows));
        return response;
    }
}
