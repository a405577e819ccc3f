import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Route } from "@knapweedwood/fleet.view/route";
import { randomUUID } from "node:crypto";
import type { HeldJob } from "./heldJob.js";
import type { JobSubmission } from "./jobSubmission.js";
import { PART_BYTES } from "./partBytes.js";

const DEFAULT_DUE_MS = 60_000;
const DEFAULT_RETENTION_MS = 600_000;

/** Returns the job of a submission as it is stored or held, accepted now. */
export function createSubmittedJob(route: Route, submission: JobSubmission, clock: Clock): HeldJob {
    // The steady time lags after a suspension of the instance, and the job would end too early at the leader.
    const acceptedAtMs = Math.max(clock.nowMs(), clock.timeOfDayMs());
    const team = submission.caller?.team;
    let bodyOffset = 0;
    const items = submission.items.map(({ id, path, headers, tokens, body }) => {
        const item = { id, path, headers, tokens, bodyOffset, bodyBytes: body.length };
        bodyOffset += body.length;
        return item;
    });
    const record = {
        jobId: submission.jobId,
        routeName: route.name,
        ...team === undefined ? {} : { team },
        host: route.host,
        acceptedAtMs,
        dueAtMs: acceptedAtMs + (route.jobDueMs ?? DEFAULT_DUE_MS),
        expiresAtMs: acceptedAtMs + (route.jobRetentionMs ?? DEFAULT_RETENTION_MS),
        maxAttempts: route.maxAttempts,
        partCount: Math.ceil(bodyOffset / PART_BYTES),
        items,
        nonce: randomUUID(),
    };
    const bodies = Buffer.concat(submission.items.map(item => item.body));
    return { record, bodies, maxWaitingTokens: route.maxWaitingTokens };
}
