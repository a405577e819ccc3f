import type { QueueEstimate } from "@knapweedwood/fleet.load/queueEstimate";
import type { Team } from "@knapweedwood/fleet.view/team";

/** Returns the log fields on the place of a team's request in the queue. */
export function queueFieldsOf(
    team: Team | undefined,
    estimate: QueueEstimate | undefined,
): { [field: string]: unknown; } {
    return {
        ...team === undefined ? {} : { team: team.id },
        ...estimate === undefined ? {} : {
            expectedWaitMs: Number.isFinite(estimate.expectedWaitMs) ? Math.round(estimate.expectedWaitMs) : undefined,
            waitingAhead: Math.round(estimate.waitingAhead),
            slots: estimate.slots,
        },
    };
}
