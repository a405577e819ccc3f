// The connection on which the leader watched the jobs went silent, a gateway acknowledged the end of a job and was lost before
// it could report it. The leader took the silence for a service without changes, and items of the ended job began for
// 4.7 s (review/10, UNASKED).
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { Exchange } from "@knapweedwood/fleet.upstreams/exchange";
import type { ExchangeHandler } from "@knapweedwood/fleet.upstreams/exchangeHandler";
import type { ExchangeRequest } from "@knapweedwood/fleet.upstreams/exchangeRequest";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import { SilenceableKeyValueService } from "@knapweedwood/standins.key-value/silenceableKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { jobKeys } from "../src/jobKeys.js";
import { planJobWrite } from "../src/planJobWrite.js";
import { createJobRecord } from "./createJobRecord.js";
import { createTestRunner } from "./createTestRunner.js";

const JOB_END_BOUND_MS = 3000;
const JOBS_MAX_AGE_MS = JOB_END_BOUND_MS / 2;
/** Longest wait of a watch of the jobs, in milliseconds. */
const WATCH_WAIT_MS = 30_000;
const EVENT_INTERVAL_MS = 200;

/** Upstreams that send an event of each run from time to time until it is aborted. */
class EndlessUpstreams {
    readonly connections = new UpstreamConnections();
    running = 0;
    private readonly clock: ManualClock;

    constructor(clock: ManualClock) {
        this.clock = clock;
        mock.method(
            this.connections,
            "send",
            (_upstream: unknown, _request: ExchangeRequest, handler: ExchangeHandler) => this.run(handler),
        );
    }

    private run(handler: ExchangeHandler): Exchange {
        this.running += 1;
        let isAborted = false;
        const sendEvent = (id: number) => {
            if (!isAborted) {
                handler.onData(Buffer.from(`id: ${id}\ndata: a\n\n`));
                this.clock.setTimer(EVENT_INTERVAL_MS, () => sendEvent(id + 1));
            }
        };
        this.clock.setTimer(0, () => {
            handler.onHead({ statusCode: 200, headers: [], header: () => undefined });
            sendEvent(1);
        });
        const abort = () => {
            this.running -= isAborted ? 0 : 1;
            isAborted = true;
        };
        return { abort, pause: () => undefined, resume: () => undefined };
    }
}

test("runs of an ended job end within the bound, at each phase of a watch that goes silent", async () => {
    for (let phaseMs = 0; phaseMs <= WATCH_WAIT_MS; phaseMs += 900) {
        const clock = new ManualClock();
        const service = new SilenceableKeyValueService({ clock });
        const upstreams = new EndlessUpstreams(clock);
        const jobsMaxAgeMs = () => JOBS_MAX_AGE_MS;
        const { runner } = await createTestRunner({
            busySlots: 0,
            jobs: 0,
            connections: upstreams.connections,
            clock,
            service,
            jobsMaxAgeMs,
        });
        const record = { ...createJobRecord({ id: "j", itemCount: 20 }), dueAtMs: 600_000, expiresAtMs: 600_000 };
        const job = { record, bodies: Buffer.alloc(0), maxWaitingTokens: undefined };
        await service.transact([], planJobWrite(job, undefined).operations);
        await clock.advance(100 + phaseMs);
        assert.ok(upstreams.running > 0, `phase ${phaseMs} ms: no item runs`);
        service.silenceWatches(jobKeys.jobsPrefix);
        const value = encodeRecord({ cancelled: true });
        await service.transact([], [{ kind: "put", key: jobKeys.cancellation(record.jobId), value }]);
        await clock.advance(JOB_END_BOUND_MS);
        assert.equal(upstreams.running, 0, `phase ${phaseMs} ms: items run`);
        runner.stop();
        service.close();
    }
});
