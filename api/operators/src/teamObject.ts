import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";

/**
 * Returns a team as the API shows it, with the number of keys that are not revoked instead of the keys. Keys are listed
 * by their own route.
 */
export function teamObject(team: TeamDefinition): object {
    const { keys, ...fields } = team;
    return { ...fields, keyCount: keys.filter(key => key.revokedAtMs === undefined).length };
}
