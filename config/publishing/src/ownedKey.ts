import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** A key with the id of its team. */
export interface OwnedKey {
    teamId: TeamId;
    key: KeyRecord;
}
