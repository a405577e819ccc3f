import type { CallOutcome } from "./callOutcome.js";
import type { DecisionFigures } from "./decisionFigures.js";
import type { LoadPattern } from "./loadPattern.js";

const OBJECTIVE_MS = 300;
/** Value of a late response, where one on time has the value 1. */
const LATE_VALUE = 0.15;
const WINDOW_MS = 2000;
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
        };
    }

    /** Time after the span until every call of a window is on time; Infinity where that never happens. */
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
 * A call on time at its first attempt has the value 1. One on time at the attempt after a rejection counts halfway
 * between on time and late. A late call has LATE_VALUE, an unserved one 0.
 */
function valueOf(call: CallOutcome): number {
    if (call.firstEventAtMs === undefined) {
        return 0;
    }
    if (isOnTime(call)) {
        return 1;
    }
    const isReturnOnTime = call.rejections > 0 && call.firstEventAtMs - call.lastAttemptAtMs <= OBJECTIVE_MS;
    return isReturnOnTime ? (1 + LATE_VALUE) / 2 : LATE_VALUE;
}

function isOnTime(call: CallOutcome): boolean {
    return call.firstEventAtMs !== undefined && call.firstEventAtMs - call.arrivedAtMs <= OBJECTIVE_MS;
}
