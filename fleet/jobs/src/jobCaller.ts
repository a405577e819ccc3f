import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Who calls about a job while the configuration has teams. `team` is absent for a caller on an anonymous route. */
export interface JobCaller {
    team?: TeamId;
}
