import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";
import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";

/** An authenticated caller: its team and its key. */
export interface Caller {
    team: TeamDefinition;
    key: KeyRecord;
}
