import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { KeyRecord } from "./keyRecord.js";
import type { Limits } from "./limits.js";

/** A team that uses the platform. */
export interface TeamDefinition {
    teamId: TeamId;
    displayName: string;
    /** Share of contended capacity, relative to the weights of other teams. */
    weight: number;
    limits: Limits;
    keys: KeyRecord[];
}
