import type { Team } from "@knapweedwood/fleet.view/team";

/** The load of one team over time. */
export interface TeamLoad {
    team: Team;
    /** Calls per second. */
    ratePerSecond: (nowMs: number) => number;
    /** Whether the team sends at its usual rate throughout. */
    isUsual: boolean;
}
