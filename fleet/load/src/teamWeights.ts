import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Team } from "@knapweedwood/fleet.view/team";

/** Each step of priority halves the weight, at most this often: a less urgent team keeps at least a quarter. */
const MAX_HALVINGS = 2;

/** The weights of the teams in force, by which they share the slots of a service. */
export class TeamWeights {
    private readonly teams: () => readonly Team[] | undefined;
    private current: readonly Team[] | undefined;
    private weights = new Map<TeamId, number>();
    private meanRatePerSecond = 1;

    /** @param teams returns the teams of the configuration in force; undefined if callers need no key */
    constructor(teams: () => readonly Team[] | undefined) {
        this.teams = teams;
    }

    get hasTeams(): boolean {
        return this.teams() !== undefined;
    }

    /** Returns a team's weight. Callers without a key on anonymous routes share the weight of a mean rate. */
    weightOf(teamId: TeamId | undefined): number {
        this.update();
        return (teamId === undefined ? undefined : this.weights.get(teamId)) ?? this.meanRatePerSecond;
    }

    private update(): void {
        const teams = this.teams();
        if (teams === this.current) {
            return;
        }
        this.current = teams;
        const rates = (teams ?? [])
            .map(team => team.requestsPerSecond)
            .filter(rate => rate !== undefined && rate > 0) as number[];
        const mean = rates.length === 0 ? 1 : rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
        this.meanRatePerSecond = mean;
        this.weights = new Map(
            (teams ?? []).map(team => [team.id, (team.requestsPerSecond || mean) / divisorOf(team.priority ?? 0)]),
        );
    }
}

function divisorOf(priority: number): number {
    return 2 ** Math.min(MAX_HALVINGS, Math.max(0, priority));
}
