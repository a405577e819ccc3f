import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

const ROOT = "/batch";

/** Keys of the batch records in the key-value service. */
export const batchKeys = {
    openJobs: `${ROOT}/open/`,
    openJob: (jobId: JobId) => `${ROOT}/open/${jobId}`,
    manifest: (jobId: JobId) => `${ROOT}/manifests/${jobId}`,
    progress: (jobId: JobId) => `${ROOT}/progress/${jobId}`,
    idempotency: (teamId: TeamId, key: IdempotencyKey) =>
        `${ROOT}/idempotency/${encodeURIComponent(teamId)}/${digestOf(key)}`,
    teamJobs: (teamId: TeamId) => `${ROOT}/team-jobs/${encodeURIComponent(teamId)}/`,
    teamJob: (teamId: TeamId, jobId: JobId) => `${ROOT}/team-jobs/${encodeURIComponent(teamId)}/${jobId}`,
    allTeamJobs: `${ROOT}/team-jobs/`,
    allFiles: `${ROOT}/files/`,
    files: (teamId: TeamId) => `${ROOT}/files/${encodeURIComponent(teamId)}/`,
    file: (teamId: TeamId, fileId: FileId) => `${ROOT}/files/${encodeURIComponent(teamId)}/${fileId}`,
};
