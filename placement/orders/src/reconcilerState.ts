/** States of the chart in `charts/converger.json`. */
export type ReconcilerState = "waiting" | "comparing" | "claiming" | "ordering" | "settled";
