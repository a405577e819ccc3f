import type { Role } from "@knapweedwood/config.configuration/role";
import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** The authenticated sender of a request to the operators' API. */
export interface OperatorCaller {
    teamId: TeamId;
    keyId: KeyId;
    role: Role;
}
