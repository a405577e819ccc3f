import type { JobCaller } from "./jobCaller.js";
import type { JobRecord } from "./jobRecord.js";

/**
 * Returns whether a caller may read, cancel or repeat a job. A job without a team was accepted before there were teams, or
 * on an anonymous route.
 *
 * @param caller undefined while the configuration has no teams
 */
export function mayAccessJob({ team }: Pick<JobRecord, "team">, caller: JobCaller | undefined): boolean {
    return caller === undefined || team === undefined || team === caller.team;
}
