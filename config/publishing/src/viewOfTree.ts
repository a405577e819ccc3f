import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import { SnapshotConfigurationView } from "@knapweedwood/config.configuration/snapshotConfigurationView";
import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";
import type { ConfigurationRecord } from "./configurationRecord.js";
import type { ConfigurationRoot } from "./configurationRoot.js";
import type { ConfigurationTree } from "./configurationTree.js";

/** The view of one revision. */
export function viewOfTree(
    root: Pick<ConfigurationRoot, "revision" | "digest">,
    tree: ConfigurationTree,
): ConfigurationView {
    const records = tree.records();
    return new SnapshotConfigurationView({
        revision: root.revision,
        digest: root.digest,
        services: records.flatMap(record => record.kind === "service" ? [record.service] : []),
        teams: teamsWithKeys(records),
    });
}

function teamsWithKeys(records: ConfigurationRecord[]): TeamDefinition[] {
    const teams = new Map<string, TeamDefinition>(
        records.flatMap(record => record.kind === "team" ? [[record.team.teamId, { ...record.team, keys: [] }]] : []),
    );
    records.forEach(record => {
        if (record.kind === "key") {
            teams.get(record.teamId)?.keys.push(record.key);
        }
    });
    return [...teams.values()];
}
