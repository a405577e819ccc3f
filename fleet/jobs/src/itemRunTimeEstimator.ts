import type { JobItem } from "./jobItem.js";

/** Weight of the newest sample in the moving averages. */
const NEWEST_WEIGHT = 0.05;
/** Minimum number of events of a run for a meaningful time per event. */
const MIN_EVENTS = 5;
/** Ratio of total time to run time: items are preempted by online requests and resumed later. */
const PREEMPTION_FACTOR = 1.3;

/** Estimates remaining run times of items from earlier runs, to find the items that can still finish in time. */
export class ItemRunTimeEstimator {
    private meanEventsPerToken = 0;
    private meanEventMs = 0;

    /** Records a run that produced `eventCount` events at an upstream of a slowness. */
    recordRun(eventCount: number, durationMs: number, slowness = 1): void {
        if (eventCount >= MIN_EVENTS) {
            this.meanEventMs = updateMean(this.meanEventMs, durationMs / eventCount / slowness);
        }
    }

    /** Records a complete output. Its number of events grows with the tokens that the item may use. */
    recordOutput({ record, lastEventId }: JobItem): void {
        if (record.tokens > 0) {
            this.meanEventsPerToken = updateMean(this.meanEventsPerToken, lastEventId / record.tokens);
        }
    }

    /**
     * Returns the expected time until the item is done if it runs from now on at an upstream of a slowness, in
     * milliseconds; 0 without samples.
     */
    remainingMs(item: JobItem, slowness = 1): number {
        return this.timeFor(Math.max(0, this.expectedEvents(item) - item.lastEventId)) * slowness;
    }

    /** Returns the expected time that the item takes from its beginning, in milliseconds; 0 without samples. */
    totalMs(item: JobItem): number {
        return this.timeFor(this.expectedEvents(item));
    }

    private expectedEvents({ record }: JobItem): number {
        return this.meanEventsPerToken * record.tokens;
    }

    private timeFor(eventCount: number): number {
        return eventCount * this.meanEventMs * PREEMPTION_FACTOR;
    }
}

function updateMean(mean: number, newest: number): number {
    return mean === 0 ? newest : mean + (newest - mean) * NEWEST_WEIGHT;
}
