import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";
import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";

/** Who sent a request. */
export interface Caller {
    team: TeamDefinition;
    key: KeyRecord;
}
