import { Chart } from "@knapweedwood/core.charts/chart";
import definition from "../charts/converger.json" with { type: "json" };
import type { ConvergerEvent } from "./convergerEvent.js";
import type { ConvergerState } from "./convergerState.js";

/** How a side converges its upstream on the plan. */
export const convergerChart = new Chart<ConvergerState, ConvergerEvent>(definition);
