import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";

/** A team as the API shows it: keys are listed apart. */
export function teamObject(team: TeamDefinition): object {
    const { keys, ...fields } = team;
    return { ...fields, keyCount: keys.filter(key => key.revokedAtMs === undefined).length };
}
