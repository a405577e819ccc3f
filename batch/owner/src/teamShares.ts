import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Distributes items between teams by weight: the team with the lowest weighted count of items comes first. */
export class TeamShares {
    private readonly weightOf: (teamId: TeamId) => number;
    private readonly weightedCounts = new Map<TeamId, number>();
    /** Highest weighted count at which a team has received an item; no team counts as less. */
    private minimumCount = 0;

    constructor(opts: { weightOf: (teamId: TeamId) => number; }) {
        this.weightOf = opts.weightOf;
    }

    /**
     * Returns the weighted count of items that the team has received. It is at least `minimumCount`, so that a team
     * gets no extra items for the time in which it was idle.
     */
    weightedCountOf(teamId: TeamId): number {
        return Math.max(this.minimumCount, this.weightedCounts.get(teamId) ?? 0);
    }

    countItem(teamId: TeamId): void {
        const count = this.weightedCountOf(teamId);
        this.minimumCount = Math.max(this.minimumCount, count);
        this.weightedCounts.set(teamId, count + 1 / Math.max(Number.EPSILON, this.weightOf(teamId)));
    }
}
