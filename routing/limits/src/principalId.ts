import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Whoever has limits of its own. */
export type PrincipalId = TeamId | KeyId;
