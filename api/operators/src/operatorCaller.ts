import type { Role } from "@knapweedwood/config.configuration/role";
import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Who sent a request to the operators' API, once authenticated. */
export interface OperatorCaller {
    teamId: TeamId;
    keyId: KeyId;
    role: Role;
}
