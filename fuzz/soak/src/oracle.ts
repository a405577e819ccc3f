import { checkConfiguration } from "./checkConfiguration.js";
import { checkCrashingRequests } from "./checkCrashingRequests.js";
import { checkDraining } from "./checkDraining.js";
import { checkJobs } from "./checkJobs.js";
import { checkRecovery } from "./checkRecovery.js";
import { checkResponses } from "./checkResponses.js";
import { checkRuns } from "./checkRuns.js";
import { checkSoftwareVersions } from "./checkSoftwareVersions.js";
import { checkStops } from "./checkStops.js";
import { checkTeamLimits } from "./checkTeamLimits.js";
import { checkTeams } from "./checkTeams.js";
import { checkUpstreamLimits } from "./checkUpstreamLimits.js";
import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";

/** Returns all violations of the promises that a record shows, shape [violations]. */
export function oracle(record: SoakRecord): Violation[] {
    return [
        checkResponses,
        checkRuns,
        checkJobs,
        checkCrashingRequests,
        checkConfiguration,
        checkDraining,
        checkSoftwareVersions,
        checkStops,
        checkTeams,
        checkTeamLimits,
        checkUpstreamLimits,
        checkRecovery,
    ].flatMap(check => check(record));
}
