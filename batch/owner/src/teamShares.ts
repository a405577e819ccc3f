import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Shares items out between teams by weight: the team that has had the least for its weight comes first. */
export class TeamShares {
    private readonly weightOf: (teamId: TeamId) => number;
    private readonly weightedCounts = new Map<TeamId, number>();
    private minimumCount = 0;

    constructor(opts: { weightOf: (teamId: TeamId) => number; }) {
        this.weightOf = opts.weightOf;
    }

    /** Weighted count of items that the team has had; one that was idle starts from where the others are. */
    weightedCountOf(teamId: TeamId): number {
        return Math.max(this.minimumCount, this.weightedCounts.get(teamId) ?? 0);
    }

    countItem(teamId: TeamId): void {
        const count = this.weightedCountOf(teamId);
        this.minimumCount = Math.max(this.minimumCount, count);
        this.weightedCounts.set(teamId, count + 1 / Math.max(Number.EPSILON, this.weightOf(teamId)));
    }
}
