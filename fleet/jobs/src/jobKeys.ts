import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { boundedKey } from "@knapweedwood/core.key-value/boundedKey";
import { encodeKeySegment } from "@knapweedwood/core.key-value/encodeKeySegment";

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
    jobPrefix: (jobId: JobId) => `${JOBS_PREFIX}${encodeKeySegment(jobId)}/`,
    record: (jobId: JobId) => `${JOBS_PREFIX}${encodeKeySegment(jobId)}/record`,
    part: (jobId: JobId, index: number) => `${JOBS_PREFIX}${encodeKeySegment(jobId)}/part/${index}`,
    /** A part of the items of a job, if they don't fit into its record. */
    items: (jobId: JobId, index: number) => `${JOBS_PREFIX}${encodeKeySegment(jobId)}/items/${index}`,
    cancellation: (jobId: JobId) => `${JOBS_PREFIX}${encodeKeySegment(jobId)}/cancelled`,
    /** All results and progress of one job. */
    jobResultsPrefix: (jobId: JobId) => `${RESULTS_PREFIX}${encodeKeySegment(jobId)}/`,
    /** All results of one job, without progress. */
    resultsOnlyPrefix: (jobId: JobId) => `${RESULTS_PREFIX}${encodeKeySegment(jobId)}/at/`,
    result: (jobId: JobId, position: number) =>
        `${RESULTS_PREFIX}${encodeKeySegment(jobId)}/at/${String(position).padStart(POSITION_DIGITS, "0")}`,
    /** The list of the items of one job that have a result. */
    listedItems: (jobId: JobId) => `${RESULTS_PREFIX}${encodeKeySegment(jobId)}/listed`,
    progress: (jobId: JobId, itemIndex: number) => `${RESULTS_PREFIX}${encodeKeySegment(jobId)}/progress/${itemIndex}`,
    /** Traces of removed jobs. */
    tombstonesPrefix: TOMBSTONES_PREFIX,
    tombstone: (jobId: JobId) => `${TOMBSTONES_PREFIX}${encodeKeySegment(jobId)}`,
    /** Waiting tokens of a route or, if the jobs have a team, of the team on the route. */
    waitingTokens: (routeName: string, team?: TeamId) =>
        boundedKey(
            team === undefined
                ? `knapweed/waiting-tokens/${routeName}`
                : `knapweed/team-waiting-tokens/${encodeURIComponent(team)}/${routeName}`,
        ),
} as const;
