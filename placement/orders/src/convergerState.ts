/** States of the chart in `charts/converger.json`. */
export type ConvergerState = "waiting" | "comparing" | "claiming" | "ordering" | "settled";
