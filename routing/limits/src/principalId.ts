import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Identifies a team or key that has its own limits. */
export type PrincipalId = TeamId | KeyId;
