import type { CallOutcome } from "./callOutcome.js";
import type { DecisionFigures } from "./decisionFigures.js";
import type { LoadPattern } from "./loadPattern.js";
import type { TeamFigures } from "./teamFigures.js";

/** Time to the first event up to which a call is on time. */
const OBJECTIVE_MS = 300;
/** Value of a late response. A response on time has the value 1. */
const LATE_VALUE = 0.15;
/** Length of the windows of which the worst is reported. */
const WINDOW_MS = 2000;
/** Length of the window in which all calls must be on time to count as recovered. */
const RECOVERY_WINDOW_MS = 500;
const MS_PER_SECOND = 1000;

/** Collects the outcomes of all calls and computes figures from them. */
export class CallOutcomes {
    private readonly outcomes: CallOutcome[] = [];

    add(outcome: CallOutcome): void {
        this.outcomes.push(outcome);
    }

    /** Returns the figures of the calls that arrived within the measured span of a load. */
    figures(load: LoadPattern): Omit<DecisionFigures, "policy" | "load" | "itemsOnTimeShare"> {
        const teams = this.teamFigures(load);
        const calls = this.arrivedBetween(load.fromMs, load.toMs);
        const onTime = calls.filter(isOnTime);
        const served = calls.filter(call => call.firstEventAtMs !== undefined);
        const windows = Array.from(
            { length: (load.toMs - load.fromMs) / WINDOW_MS },
            (_, index) => this.onTimeShare(load.fromMs + index * WINDOW_MS, WINDOW_MS),
        );
        return {
            calls: calls.length,
            meanValue: calls.reduce((sum, call) => sum + valueOf(call), 0) / calls.length,
            onTimeShare: onTime.length / calls.length,
            lateShare: (served.length - onTime.length) / calls.length,
            unservedShare: (calls.length - served.length) / calls.length,
            refusedShare: calls.filter(call => call.rejections > 0).length / calls.length,
            worstWindowShare: Math.min(...windows),
            goodputPerSecond: onTime.length * MS_PER_SECOND / (load.toMs - load.fromMs),
            recoveryMs: this.recoveryMs(load),
            teams,
            worstUsualTeamShare: Math.min(
                1,
                ...teams.filter(team => team.isUsual).map(team => team.onTime / Math.max(1, team.calls)),
            ),
        };
    }

    private teamFigures(load: LoadPattern): TeamFigures[] {
        const calls = this.arrivedBetween(load.fromMs, load.toMs);
        return (load.teams ?? []).map(({ team, isUsual }) => {
            const own = calls.filter(call => call.teamId === team.id);
            return {
                teamId: team.id,
                isUsual,
                calls: own.length,
                onTime: own.filter(isOnTime).length,
                served: own.filter(call => call.firstEventAtMs !== undefined).length,
                refused: own.filter(call => call.rejections > 0).length,
            };
        });
    }

    /** Returns the time from the end of the span to the first window whose calls are all on time, else Infinity. */
    private recoveryMs(load: LoadPattern): number {
        for (let fromMs = load.toMs; fromMs < load.durationMs - WINDOW_MS; fromMs += RECOVERY_WINDOW_MS) {
            if (this.onTimeShare(fromMs, RECOVERY_WINDOW_MS) === 1) {
                return fromMs - load.toMs;
            }
        }
        return Infinity;
    }

    private onTimeShare(fromMs: number, lengthMs: number): number {
        const calls = this.arrivedBetween(fromMs, fromMs + lengthMs);
        return calls.length === 0 ? 1 : calls.filter(isOnTime).length / calls.length;
    }

    private arrivedBetween(fromMs: number, toMs: number): CallOutcome[] {
        return this.outcomes.filter(call => call.arrivedAtMs >= fromMs && call.arrivedAtMs < toMs);
    }
}

/**
 * Returns the value of a call to its caller. A call on time, counted from its arrival, has the value 1. A late call has
 * LATE_VALUE, or the mean of 1 and LATE_VALUE where its retry after a rejection is on time, counted from the retry. An
 * unserved call has the value 0.
 */
function valueOf(call: CallOutcome): number {
    if (call.firstEventAtMs === undefined) {
        return 0;
    }
    if (isOnTime(call)) {
        return 1;
    }
    const isRetryOnTime = call.rejections > 0 && call.firstEventAtMs - call.lastAttemptAtMs <= OBJECTIVE_MS;
    return isRetryOnTime ? (1 + LATE_VALUE) / 2 : LATE_VALUE;
}

function isOnTime(call: CallOutcome): boolean {
    return call.firstEventAtMs !== undefined && call.firstEventAtMs - call.arrivedAtMs <= OBJECTIVE_MS;
}
