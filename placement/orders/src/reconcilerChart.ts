import { Chart } from "@knapweedwood/core.charts/chart";
import definition from "../charts/converger.json" with { type: "json" };
import type { ReconcilerEvent } from "./reconcilerEvent.js";
import type { ReconcilerState } from "./reconcilerState.js";

/** How a side converges its upstream on the plan. */
export const reconcilerChart = new Chart<ReconcilerState, ReconcilerEvent>(definition);
