import { Args, Flags } from "@oclif/core";
import { ApiCommand } from "../apiCommand.js";
import { collectServiceFiles } from "../collectServiceFiles.js";
import { waitUntilActive } from "../waitUntilActive.js";

interface PublishResponse {
    revision: number;
    published: boolean;
    difference: { recordKey: string; kind: string; }[];
}

/** Collects service files and publishes them as a new configuration revision. */
export default class Publish extends ApiCommand {
    static override description = "collect knapweed.yaml files and publish them as a new configuration revision";
    static override strict = false;
    static override args = {
        folder: Args.directory({ description: "folder to search for knapweed.yaml files", required: true }),
    };
    static override flags = {
        "dry-run": Flags.boolean({ description: "validate the files and show the difference without publishing" }),
        wait: Flags.boolean({ description: "wait until the revision is active on all processes" }),
        message: Flags.string({ description: "reason of the change, recorded in the audit trail", default: "" }),
    };

    async run(): Promise<unknown> {
        const { argv, flags } = await this.parse(Publish);
        const client = this.client(flags);
        const files = await collectServiceFiles(argv as string[]);
        const response = await client.post("/admin/v1/configuration/publish", {
            files,
            dryRun: flags["dry-run"],
            message: flags.message,
        }) as unknown as PublishResponse;
        response.difference.forEach(({ kind, recordKey }) => this.log(`${kind.padEnd(8)} ${recordKey}`));
        this.log(
            response.published ? `Published revision ${response.revision}` : `Revision ${response.revision} stands`,
        );
        if (flags.wait && response.published) {
            const activeRevision = await waitUntilActive(client, response.revision);
            this.log(`In force on ${activeRevision.reached} of ${activeRevision.total}`);
            return { ...response, inForce: activeRevision };
        }
        return response;
    }
}
