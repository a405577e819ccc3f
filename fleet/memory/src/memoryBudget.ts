import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Share of the budget that one team may hold, so that its slow readers leave room for the other teams. */
const MAX_TEAM_SHARE = 0.5;

/**
 * Counts the bytes that a process holds for its callers, and limits them for the process and for each team. Callers
 * without a team may use the whole budget.
 *
 * Load pattern: many callers send large bodies, or stop reading their responses, at the same time.
 */
export class MemoryBudget {
    private readonly limitBytes: number;
    private readonly heldByTeam = new Map<TeamId, number>();
    private held = 0;

    constructor(opts: { limitBytes: number; }) {
        this.limitBytes = opts.limitBytes;
    }

    /** Bytes that the process holds for all callers. */
    get heldBytes(): number {
        return this.held;
    }

    /** Returns the bytes that the process holds for one team. */
    heldBytesOf(teamId: TeamId): number {
        return this.heldByTeam.get(teamId) ?? 0;
    }

    /** Counts `bytes` more if they fit the limits of the process and of the team. @returns whether they fit */
    tryAdd(teamId: TeamId | undefined, bytes: number): boolean {
        const fitsProcess = this.held + bytes <= this.limitBytes;
        const fitsTeam = teamId === undefined
            || this.heldBytesOf(teamId) + bytes <= this.limitBytes * MAX_TEAM_SHARE;
        if (!fitsProcess || !fitsTeam) {
            return false;
        }
        this.change(teamId, bytes);
        return true;
    }

    /** Counts `bytes` less. */
    remove(teamId: TeamId | undefined, bytes: number): void {
        this.change(teamId, -bytes);
    }

    private change(teamId: TeamId | undefined, bytes: number): void {
        this.held += bytes;
        if (teamId === undefined) {
            return;
        }
        const ofTeam = this.heldBytesOf(teamId) + bytes;
        this.heldByTeam.set(teamId, ofTeam);
        if (ofTeam <= 0) {
            this.heldByTeam.delete(teamId);
        }
    }
}
