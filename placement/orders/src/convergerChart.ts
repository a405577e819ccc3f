import { Chart } from "@knapweedwood/core.charts/chart";
import type { ConvergerEvent } from "./convergerEvent.js";
import type { ConvergerState } from "./convergerState.js";

/** How a side converges its upstream on the plan. */
export const convergerChart = Chart.read<ConvergerState, ConvergerEvent>(
    new URL("../../charts/converger.json", import.meta.url),
);
