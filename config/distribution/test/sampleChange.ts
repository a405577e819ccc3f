import type { ConfigurationChange } from "@knapweedwood/config.publishing/configurationChange";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Returns a change that puts a team with this weight. */
export function sampleChange(teamId: string, weight: number): ConfigurationChange {
    return {
        kind: "put",
        record: { kind: "team", team: { teamId: teamId as TeamId, displayName: teamId, weight, limits: {} } },
    };
}
