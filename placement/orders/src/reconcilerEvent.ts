/** Events of the chart in `charts/converger.json`. */
export type ReconcilerEvent =
    | "PLAN"
    | "SWEEP"
    | "DIFFERENT"
    | "EQUAL"
    | "CLAIMED"
    | "STALE"
    | "ORDERED"
    | "REFUSED"
    | "FAILED";
