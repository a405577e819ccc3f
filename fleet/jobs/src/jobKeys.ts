import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

const JOBS_PREFIX = "knapweed/jobs/";
const TOMBSTONES_PREFIX = "knapweed/tombstones/";
const RESULTS_PREFIX = "knapweed/results/";
const POSITION_DIGITS = 6;

/** Keys of batch jobs in the key-value service. */
export const jobKeys = {
    /** Accepted jobs, written by gateways and watched by the runner. */
    jobsPrefix: JOBS_PREFIX,
    /** Results and progress, written by the runner. */
    resultsPrefix: RESULTS_PREFIX,
    /** All entries of one job. */
    jobPrefix: (jobId: JobId) => `${JOBS_PREFIX}${jobId}/`,
    record: (jobId: JobId) => `${JOBS_PREFIX}${jobId}/record`,
    part: (jobId: JobId, index: number) => `${JOBS_PREFIX}${jobId}/part/${index}`,
    cancellation: (jobId: JobId) => `${JOBS_PREFIX}${jobId}/cancelled`,
    /** All results and progress of one job. */
    jobResultsPrefix: (jobId: JobId) => `${RESULTS_PREFIX}${jobId}/`,
    /** All results of one job, without progress. */
    resultsOnlyPrefix: (jobId: JobId) => `${RESULTS_PREFIX}${jobId}/at/`,
    result: (jobId: JobId, position: number) =>
        `${RESULTS_PREFIX}${jobId}/at/${String(position).padStart(POSITION_DIGITS, "0")}`,
    /** The list of the items of one job that have a result. */
    listedItems: (jobId: JobId) => `${RESULTS_PREFIX}${jobId}/listed`,
    progress: (jobId: JobId, itemIndex: number) => `${RESULTS_PREFIX}${jobId}/progress/${itemIndex}`,
    /** Traces of removed jobs. */
    tombstonesPrefix: TOMBSTONES_PREFIX,
    tombstone: (jobId: JobId) => `${TOMBSTONES_PREFIX}${jobId}`,
    /** Waiting tokens of a route or, if the jobs have a team, of the team on the route. */
    waitingTokens: (routeName: string, team?: TeamId) =>
        team === undefined
            ? `knapweed/waiting-tokens/${routeName}`
            : `knapweed/team-waiting-tokens/${encodeURIComponent(team)}/${routeName}`,
} as const;
