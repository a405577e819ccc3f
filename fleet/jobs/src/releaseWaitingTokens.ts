import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { jobKeys } from "./jobKeys.js";
import type { TokenGroup } from "./tokenGroup.js";
import type { WaitingTokens } from "./waitingTokens.js";

/** Removes ended jobs from the waiting tokens of their route and team. Rejects if the key-value service fails. */
export async function releaseWaitingTokens(
    service: KeyValueService,
    group: TokenGroup,
    ended: readonly JobId[],
): Promise<void> {
    const key = jobKeys.waitingTokens(group.routeName, group.team);
    for (let isDone = false; !isDone;) {
        const entry = await service.get(key);
        const jobs = entry === undefined ? [] : decodeRecord<WaitingTokens>(entry.value).jobs;
        const left = jobs.filter(job => !ended.includes(job.jobId));
        if (entry === undefined || left.length === jobs.length) {
            return;
        }
        const result = await service.transact(
            [{ key, modRevision: entry.modRevision }],
            [{ kind: "put", key, value: encodeRecord({ jobs: left }) }],
        );
        // The write fails if another process changed the record in the meantime; then it is repeated.
        isDone = result.succeeded;
    }
}
