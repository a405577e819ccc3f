import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CallRecorder } from "../src/callRecorder.js";

// Operators could not tell which team's calls waited or were rejected, nor behind how many others.
test("waiting and rejected requests are counted by team, and logged with their place in the queue", () => {
    const counted: unknown[] = [];
    const logged: unknown[] = [];
    const metrics = { increment: (name: string, tags: unknown) => counted.push([name, tags]) };
    const logger = { info: (event: string, fields: unknown) => logged.push([event, fields]) };
    const recorder = new CallRecorder({
        context: {
            clock: new ManualClock(),
            metrics: metrics as unknown as Metrics,
            logger: logger as unknown as Logger,
        },
        route: { name: "chat", kind: "stream" } as Route,
        requestId: "r1" as RequestId,
        arrivedAtMs: 0,
    });
    const team = { id: "search" as TeamId, keys: ["secret"], priority: 0, requestsPerSecond: 1, burst: 0 };
    const estimate = { expectedWaitMs: 61.4, waitingAhead: 9.2, slots: 64 };
    recorder.onWaiting(team, estimate);
    recorder.onRejected(team, estimate);
    recorder.onRejected(team, undefined);
    recorder.onRejected(undefined, estimate);
    const outcomes = ["waiting", "waiting_rejected"];
    assert.deepEqual(counted, outcomes.map(outcome => ["team_requests_total", { team: "search", outcome }]));
    const place = { team: "search", expectedWaitMs: 61, waitingAhead: 9, slots: 64 };
    assert.deepEqual(logged, [["call-waiting", { requestId: "r1", route: "chat", ...place }]]);
});
