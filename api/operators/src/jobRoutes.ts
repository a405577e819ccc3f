import type { JobRecord } from "@knapweedwood/batch.jobs/jobRecord";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { canManageTeam } from "./canManageTeam.js";
import { notFound } from "./notFound.js";
import type { OperatorCaller } from "./operatorCaller.js";
import type { OperatorsApiOptions } from "./operatorsApiOptions.js";
import { readNumber } from "./readNumber.js";
import { roleSets } from "./roleSets.js";
import type { Route } from "./route.js";

const DEFAULT_LIMIT = 100;
const MAX_LIMIT = 1_000;
/** Searching a team takes one read of the key-value service. */
const MAX_TEAMS_SEARCHED = 200;

/** Returns the routes for jobs: of the caller's team, or of any team for platform operators. */
export function jobRoutes(opts: OperatorsApiOptions): Route[] {
    return [
        {
            method: "GET",
            path: "/jobs",
            roles: roleSets.operators,
            handle: async ({ caller, query }) => {
                const limit = readNumber(query, "limit", { maximum: MAX_LIMIT }) ?? DEFAULT_LIMIT;
                const teams = teamsToSearch(opts, caller, query.get("team") ?? undefined);
                return { jobs: await listJobs(opts, teams, limit) };
            },
        },
        {
            method: "GET",
            path: "/jobs/:jobId",
            roles: roleSets.operators,
            handle: ({ caller, query, parameter }) =>
                findInTeams(
                    parameter("jobId"),
                    teamsToSearch(opts, caller, query.get("team") ?? undefined),
                    (teamId, jobId) => opts.jobs.getJob({ teamId, jobId }),
                ),
        },
        {
            method: "POST",
            path: "/jobs/:jobId/cancel",
            roles: roleSets.operators,
            handle: ({ caller, query, parameter }) =>
                findInTeams(
                    parameter("jobId"),
                    teamsToSearch(opts, caller, query.get("team") ?? undefined),
                    (teamId, jobId) => opts.jobs.cancelJob({ teamId, jobId }),
                ),
        },
    ];
}

function teamsToSearch(opts: OperatorsApiOptions, caller: OperatorCaller, requestedTeam: string | undefined): TeamId[] {
    const teams = (opts.configuration.current()?.teams() ?? []).map(team => team.teamId);
    const searched = teams.filter(teamId =>
        canManageTeam(caller, teamId) && (requestedTeam === undefined || requestedTeam === teamId)
    );
    if (searched.length > MAX_TEAMS_SEARCHED) {
        throw new KnapweedError(
            "TEAM_REQUIRED",
            `Jobs of more than ${String(MAX_TEAMS_SEARCHED)} teams can't be searched at once`,
            {
                statusCode: 400,
                outcome: "not-run",
                parameter: "team",
                hint: "Select one with ?team=ID.",
            },
        );
    }
    return searched;
}

async function listJobs(opts: OperatorsApiOptions, teams: TeamId[], limit: number): Promise<JobRecord[]> {
    const jobs: JobRecord[] = [];
    for (const teamId of teams) {
        if (jobs.length >= limit) {
            break;
        }
        jobs.push(...await opts.jobs.listJobs({ teamId, limit: limit - jobs.length }));
    }
    return jobs;
}

async function findInTeams(
    jobId: string,
    teams: TeamId[],
    find: (teamId: TeamId, jobId: JobId) => Promise<JobRecord>,
): Promise<JobRecord> {
    for (const teamId of teams) {
        try {
            return await find(teamId, jobId as JobId);
        }
        catch (thrown) {
            if (!(thrown instanceof KnapweedError) || thrown.code !== "ERR_KNAPWEED_JOB_NOT_FOUND") {
                throw thrown;
            }
        }
    }
    throw notFound("job", jobId);
}
