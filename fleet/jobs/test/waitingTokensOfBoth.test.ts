import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Route } from "@knapweedwood/fleet.view/route";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { JobAcceptor } from "../src/jobAcceptor.js";
import type { JobHolder } from "../src/jobHolder.js";
import { MemorySegments } from "./memorySegments.js";
import { SimulatedRunner } from "./simulatedRunner.js";
import { SimulatedUpstreams } from "./simulatedUpstreams.js";

const MAX_TOKENS = 100;
/** From the rule: the share by which accepted tokens may exceed the limit. */
const ALLOWED_EXCESS = 0.1;
/** Time from the first job to the second, shorter than the interval at which the leader writes held jobs. */
const PAUSE_MS = 150;
const route = { name: "r", host: "h", prefix: "/p/", kind: "batch", maxAttempts: 3, maxWaitingTokens: MAX_TOKENS };

function submissionOf(id: string, tokens: number) {
    const item = { id: `${id}-0` as ItemId, path: "/p/", headers: [], body: Buffer.from("b"), tokens };
    return { jobId: id as JobId, items: [item] };
}

/** Holds jobs at a leader with the handler of the runner program. */
function holderAt(leader: SimulatedRunner): JobHolder {
    const handler = leader.createHoldHandler(() => false);
    return { hold: async request => (await handler.handle(request)).outcome };
}

/** A leader, and two gateways of which the service rejects the first one. */
async function setUp() {
    const clock = new ManualClock();
    const timeOfDay = mock.method(Date, "now", () => clock.nowMs());
    const service = new MemoryKeyValueService({ clock });
    const rejecting = new MemoryKeyValueService({ clock });
    rejecting.faults.outage = true;
    const leader = new SimulatedRunner({
        name: "runner-0",
        clock,
        service,
        random: new SeededRandom(1),
        upstreams: new SimulatedUpstreams(clock),
        segments: new MemorySegments(),
        others: () => [],
        otherCount: 0,
        resultRetentionMs: Infinity,
        onRunBegun: () => undefined,
    });
    leader.start();
    await clock.advance(3000);
    const gateway = (reached: MemoryKeyValueService) =>
        new JobAcceptor({
            service: reached,
            clock,
            logger: silentLogger,
            holder: holderAt(leader),
            areHeldJobsWritten: () => true,
            isKnownToLeader: () => Promise.resolve(false),
            isTokenCountComplete: () => true,
        });
    const close = () => {
        leader.clock.kill();
        service.close();
        rejecting.close();
        timeOfDay.mock.restore();
    };
    return { clock, cutOff: gateway(rejecting), connected: gateway(service), close };
}

// The service rejects one gateway only. The jobs of that gateway are counted by the leader until they are written, those of
// the others by the stored count, so that each kind may fill the limit.
test("jobs accepted through the leader and through the store together stay under the limit of a route", async () => {
    const { clock, cutOff, connected, close } = await setUp();
    const accepting = [cutOff.accept(route as unknown as Route, submissionOf("held", 60))];
    await clock.advance(PAUSE_MS);
    accepting.push(connected.accept(route as unknown as Route, submissionOf("stored", 60)));
    await clock.advance(10_000);
    const accepted = (await Promise.all(accepting)).filter(({ kind }) => kind === "accepted");
    close();
    const tokens = accepted.length * 60;
    assert.ok(tokens <= MAX_TOKENS * (1 + ALLOWED_EXCESS), `${tokens} tokens of ${MAX_TOKENS}`);
});

// The tokens of a job were recorded only if its route had a limit when it was accepted. After a change of the configuration
// that adds one, the jobs that already waited didn't count.
test("jobs that a route accepted while it had no limit count once it has one", async () => {
    const { clock, connected, close } = await setUp();
    const unlimited = { ...route, maxWaitingTokens: undefined } as unknown as Route;
    const earlier = connected.accept(unlimited, submissionOf("earlier", 90));
    await clock.advance(PAUSE_MS);
    assert.equal((await earlier).kind, "accepted");
    const later = connected.accept(route as unknown as Route, submissionOf("later", 60));
    await clock.advance(2000);
    close();
    assert.equal((await later).kind, "refused", "150 tokens of 100");
});
