import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { Route } from "@knapweedwood/fleet.view/route";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { HoldOutcome } from "../src/holdOutcome.js";
import { JobAcceptor } from "../src/jobAcceptor.js";
import { jobKeys } from "../src/jobKeys.js";
import type { JobSubmission } from "../src/jobSubmission.js";

const route = { name: "r", host: "h", prefix: "/p/", kind: "batch", maxAttempts: 3, maxWaitingTokens: 100 } as Route;
const submission: JobSubmission = {
    jobId: "j" as JobId,
    items: [{ id: "j-0" as ItemId, path: "/p/", headers: [], body: Buffer.from("b"), tokens: 40 }],
};

/** Submits a job whose write takes effect without a response, at the beginning of an outage. */
async function acceptAtOutage(held: HoldOutcome) {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const acceptor = new JobAcceptor({
        service,
        clock,
        logger: silentLogger,
        holder: { hold: () => Promise.resolve(held) },
        areHeldJobsWritten: () => true,
        isKnownToLeader: () => Promise.resolve(false),
        isTokenCountComplete: () => true,
    });
    const transact = service.transact.bind(service);
    mock.method(service, "transact", async (...parameters: Parameters<typeof transact>) => {
        service.faults.loseNextResponses(service.faults.outage ? 0 : 1);
        try {
            return await transact(...parameters);
        }
        finally {
            service.faults.outage = true;
        }
    });
    const accepting = acceptor.accept(route, submission);
    await clock.advance(10_000);
    service.faults.outage = false;
    const isStored = await service.get(jobKeys.record(submission.jobId)) !== undefined;
    return { acceptance: await accepting, isStored };
}

// After a write without a response the record is looked up. That read was rejected as "not run", which counted as the
// outcome of the write: the job was refused, and ran.
for (const held of ["not-held", "over-limit"] as const) {
    test(`a job whose write may have taken effect is not refused, where no disk holds it (${held})`, async () => {
        const { acceptance, isStored } = await acceptAtOutage(held);
        assert.ok(isStored);
        assert.notEqual(acceptance.kind, "refused");
    });
}
