import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Shares items out between teams by weight: the team that has had the least for its weight comes first. */
export class TeamShares {
    private readonly weightOf: (teamId: TeamId) => number;
    private readonly served = new Map<TeamId, number>();
    private floor = 0;

    constructor(opts: { weightOf: (teamId: TeamId) => number; }) {
        this.weightOf = opts.weightOf;
    }

    /** Weighted count of items that the team has had; one that was idle starts from where the others are. */
    servedBy(teamId: TeamId): number {
        return Math.max(this.floor, this.served.get(teamId) ?? 0);
    }

    serve(teamId: TeamId): void {
        const served = this.servedBy(teamId);
        this.floor = Math.max(this.floor, served);
        this.served.set(teamId, served + 1 / Math.max(Number.EPSILON, this.weightOf(teamId)));
    }
}
