import { Chart } from "@knapweedwood/core.charts/chart";
import type { JobEvent } from "./jobEvent.js";
import type { JobState } from "./jobState.js";

/** The states of a job. */
export const jobChart = Chart.read<JobState, JobEvent>(new URL("../../charts/job.json", import.meta.url));
