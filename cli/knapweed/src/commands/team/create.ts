import { Args, Flags } from "@oclif/core";
import { ApiCommand } from "../../apiCommand.js";

/** Creates a team. */
export default class TeamCreate extends ApiCommand {
    static override description = "create a team";
    static override args = { team: Args.string({ description: "team id", required: true }) };
    static override flags = {
        name: Flags.string({ description: "display name" }),
        weight: Flags.integer({ description: "share of contended capacity, relative to other teams", default: 1 }),
        "requests-per-second": Flags.integer({ description: "maximum requests per second" }),
        "tokens-per-second": Flags.integer({ description: "maximum tokens per second" }),
        concurrency: Flags.integer({ description: "maximum concurrent calls" }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(TeamCreate);
        const team = await this.client(flags).post("/admin/v1/teams", {
            teamId: args.team,
            displayName: flags.name ?? args.team,
            weight: flags.weight,
            limits: {
                requestsPerSecond: flags["requests-per-second"],
                tokensPerSecond: flags["tokens-per-second"],
                concurrency: flags.concurrency,
            },
        });
        this.log(`Created team ${args.team} in revision ${String(team["revision"])}`);
        return team;
    }
}
