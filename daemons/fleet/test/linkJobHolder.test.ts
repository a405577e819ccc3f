import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { HeldJob } from "@knapweedwood/fleet.jobs/heldJob";
import type { HoldOutcome } from "@knapweedwood/fleet.jobs/holdOutcome";
import type { HoldRequest } from "@knapweedwood/fleet.jobs/holdRequest";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LinkJobHolder } from "../src/linkJobHolder.js";

const FENCING_NUMBER = 7;
const unlimited = { job: { record: { jobId: "j" } } as unknown as HeldJob };
const limited = { job: { ...unlimited.job, maxWaitingTokens: 100 } };

/** The outcome in a runner's response. A call to a silent runner times out. No link to an unreachable one can be opened. */
type RunnerResponse = HoldOutcome | "silent" | "unreachable";

function start(responses: { [host: string]: RunnerResponse; }) {
    const clock = new ManualClock();
    const called: string[] = [];
    const approvals: (number | undefined)[] = [];
    const endpoint = {
        connect: (address: string) => ({
            call: async function*(_definition: unknown, request: HoldRequest, opts: { timeoutMs: number; }) {
                const host = address.split(":")[0]!;
                called.push(host);
                approvals.push(request.approvedBy);
                const response = responses[host]!;
                if (response === "silent") {
                    await sleep(clock, opts.timeoutMs);
                    throw new KnapweedError("LINK_DEADLINE_EXCEEDED", "The call timed out", { outcome: "unknown" });
                }
                if (response === "unreachable") {
                    throw new KnapweedError("LINK_CLOSED", "The runner is unreachable", { outcome: "not-run" });
                }
                yield host === hosts[0] ? { outcome: response, approvedBy: FENCING_NUMBER } : { outcome: response };
            },
        }),
    } as unknown as LinkEndpoint;
    const hosts = Object.keys(responses);
    const holder = new LinkJobHolder({
        endpoint,
        clock,
        logger: silentLogger,
        runners: () => hosts.map(host => ({ host, port: 1 })),
        leader: () => ({ host: hosts[0]!, port: 1 }),
        copies: () => 2,
    });
    return { clock, called, approvals, holder };
}

async function outcomeOf(responses: { [host: string]: RunnerResponse; }, request: HoldRequest = unlimited) {
    const { clock, called, approvals, holder } = start(responses);
    const pending = holder.hold(request);
    await clock.advance(3000);
    return { outcome: await pending, called, approvals };
}

test("a job over the limit is held by no runner, since the leader rejects it before others are called", async () => {
    const { outcome, called } = await outcomeOf({ a: "over-limit", b: "held", c: "held" }, limited);
    assert.deepEqual([outcome, called], ["over-limit", ["a"]]);
});

// Two leaders approved jobs for 1.4 s, each with its own count, and together 23% more tokens than allowed.
test("a job of a route with a limit is held only with the leader's approval, which the copies carry", async () => {
    const approved = await outcomeOf({ a: "held", b: "held", c: "held" }, limited);
    assert.deepEqual([approved.outcome, approved.approvals], ["held", [undefined, FENCING_NUMBER]]);
    assert.equal((await outcomeOf({ a: "unreachable", b: "held", c: "held" }, limited)).outcome, "not-held");
    assert.equal((await outcomeOf({ a: "silent", b: "held", c: "held" }, limited)).called.length, 1);
});

test("a job without a limit is held while the leader is silent or unreachable", async () => {
    assert.equal((await outcomeOf({ a: "silent", b: "held", c: "held" })).outcome, "held");
    assert.equal((await outcomeOf({ a: "unreachable", b: "held", c: "held" })).outcome, "held");
});

test("the outcome is held with enough copies, and not-held only if no copy can exist", async () => {
    assert.equal((await outcomeOf({ a: "held", b: "held", c: "unreachable" })).outcome, "held");
    assert.equal((await outcomeOf({ a: "held", b: "unreachable", c: "unreachable" })).outcome, "unknown");
    assert.equal((await outcomeOf({ a: "unreachable", b: "not-held", c: "unreachable" })).outcome, "not-held");
});

// Each of 14 runners synced, kept and wrote every job of an outage, 532 writes for 25 jobs.
test("only as many runners are asked as copies are needed, and others where one fails", async () => {
    const all = { a: "held", b: "held", c: "held", d: "held", e: "held" } as const;
    assert.equal((await outcomeOf(all)).called.length, 2);
    const { outcome, called } = await outcomeOf({ ...all, b: "unreachable", c: "unreachable" });
    assert.equal(outcome, "held");
    assert.ok(called.length <= 4);
});
