import type { ItemProgress } from "./itemProgress.js";

/** Weight of the newest run in the means. */
const NEWEST_WEIGHT = 0.05;
/** Runs with fewer events say little about the pace. */
const MIN_EVENTS = 5;
/** Items give way to online requests and are resumed: from start to end they take longer than they run. */
const PREEMPTION_FACTOR = 1.3;

/** How long items run, learned from those that ran: tells which items can still be in time. */
export class ItemRunTimeEstimator {
    private meanEventCount = 0;
    private meanEventMs = 0;

    /** Notes a run that produced `eventCount` events. */
    recordRun(eventCount: number, durationMs: number): void {
        if (eventCount >= MIN_EVENTS) {
            this.meanEventMs = updateMean(this.meanEventMs, durationMs / eventCount);
        }
    }

    /** Notes the whole output of an item. */
    recordOutput(eventCount: number): void {
        this.meanEventCount = updateMean(this.meanEventCount, eventCount);
    }

    /** Expected time until the item is done if it runs from now on, in milliseconds; 0 while nothing is known. */
    remainingMs(item: ItemProgress): number {
        return Math.max(0, this.meanEventCount - item.lastEventId) * this.meanEventMs * PREEMPTION_FACTOR;
    }
}

function updateMean(mean: number, newest: number): number {
    return mean === 0 ? newest : mean + (newest - mean) * NEWEST_WEIGHT;
}
