import { Chart } from "@knapweedwood/core.charts/chart";
import definition from "../charts/job.json" with { type: "json" };
import type { JobEvent } from "./jobEvent.js";
import type { JobState } from "./jobState.js";

/** State chart of a job. */
export const jobChart = new Chart<JobState, JobEvent>(definition);
