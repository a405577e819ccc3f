import { Args, Flags } from "@oclif/core";
import { ApiCommand } from "../../apiCommand.js";

/** Creates, lists or revokes API keys of a team. */
export default class TeamKey extends ApiCommand {
    static override description = "create, list or revoke keys of a team";
    static override args = { team: Args.string({ description: "team id", required: true }) };
    static override flags = {
        name: Flags.string({ description: "name of the key", default: "key" }),
        role: Flags.option({ options: ["caller", "team-operator", "platform-operator"] as const })({
            description: "role of the key, which sets the operations that it permits",
            default: "caller",
        }),
        list: Flags.boolean({ description: "list the team's keys", exclusive: ["revoke"] }),
        revoke: Flags.string({ description: "id of the key to revoke" }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(TeamKey);
        const client = this.client(flags);
        const path = `/admin/v1/teams/${encodeURIComponent(args.team)}/keys`;
        if (flags.revoke !== undefined) {
            const revoked = await client.delete(`${path}/${encodeURIComponent(flags.revoke)}`);
            this.log(`Revoked ${flags.revoke}`);
            return revoked;
        }
        if (flags.list) {
            const keys = await client.get(path);
            this.log(JSON.stringify(keys, undefined, 4));
            return keys;
        }
        const created = await client.post(path, { name: flags.name, role: flags.role });
        this.log(`Key, shown this once: ${String(created["key"])}`);
        return created;
    }
}
