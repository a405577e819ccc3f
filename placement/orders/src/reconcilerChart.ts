import { Chart } from "@knapweedwood/core.charts/chart";
import definition from "../charts/converger.json" with { type: "json" };
import type { ReconcilerEvent } from "./reconcilerEvent.js";
import type { ReconcilerState } from "./reconcilerState.js";

/** State chart by which a side reconciles its engine with the plan. */
export const reconcilerChart = new Chart<ReconcilerState, ReconcilerEvent>(definition);
