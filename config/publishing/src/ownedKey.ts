import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** An API key with the id of its team. */
export interface OwnedKey {
    teamId: TeamId;
    key: KeyRecord;
}
