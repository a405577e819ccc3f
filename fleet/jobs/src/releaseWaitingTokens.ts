import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { decodeRecord } from "@knapweedwood/fleet.sync/decodeRecord";
import { encodeRecord } from "@knapweedwood/fleet.sync/encodeRecord";
import { jobKeys } from "./jobKeys.js";
import type { JobRecord } from "./jobRecord.js";
import type { WaitingTokens } from "./waitingTokens.js";

const MAX_CONFLICTS = 5;

/** Takes an ended job out of the tokens that wait on its route. Does nothing where it is not counted. */
export async function releaseWaitingTokens(service: KeyValueService, record: JobRecord): Promise<void> {
    const key = jobKeys.waitingTokens(record.routeName);
    for (let conflicts = 0; conflicts < MAX_CONFLICTS; conflicts += 1) {
        const entry = await service.get(key);
        const jobs = entry === undefined ? [] : decodeRecord<WaitingTokens>(entry.value).jobs;
        const left = jobs.filter(job => job.jobId !== record.jobId);
        if (entry === undefined || left.length === jobs.length) {
            return;
        }
        const result = await service.transact(
            [{ key, modRevision: entry.modRevision }],
            [{ kind: "put", key, value: encodeRecord({ jobs: left }) }],
        );
        if (result.succeeded) {
            return;
        }
    }
}
