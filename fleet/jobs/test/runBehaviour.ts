/** How a run at a simulated upstream goes. */
export interface RunBehaviour {
    /** `cut` ends within an event, `silent` stops without an end, `out-of-order` leaves out an event. */
    kind: "completed" | "broken" | "cut" | "silent" | "out-of-order" | "failed" | "impossible" | "not-run";
    /** Events that the run writes before it ends, unless it completes. */
    events: number;
    /** Time between two events, in milliseconds. */
    eventMs: number;
}
