/** Progress of an item. */
export interface ItemProgress {
    /** Data of the events so far, shape [events]. */
    events: string[];
    /** Id of the last event; 0 if there is none. */
    lastEventId: number;
    failedAttempts: number;
    /** Whether the events are the whole output. */
    isComplete: boolean;
}
