/** Events of the chart in `charts/converger.json`. */
export type ConvergerEvent =
    | "PLAN"
    | "SWEEP"
    | "DIFFERENT"
    | "EQUAL"
    | "CLAIMED"
    | "STALE"
    | "ORDERED"
    | "REFUSED"
    | "FAILED";
