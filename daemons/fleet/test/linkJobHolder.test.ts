import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { HeldJob } from "@knapweedwood/fleet.jobs/heldJob";
import type { HoldOutcome } from "@knapweedwood/fleet.jobs/holdOutcome";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LinkJobHolder } from "../src/linkJobHolder.js";

const request = { job: { record: { jobId: "j" } } as unknown as HeldJob, storedTokens: 0 };

/** The outcome in a runner's response. A silent runner never responds. No link to an unreachable one can be opened. */
type RunnerResponse = HoldOutcome | "silent" | "unreachable";

function start(responses: { [host: string]: RunnerResponse; }) {
    const clock = new ManualClock();
    const called: string[] = [];
    const endpoint = {
        connect: (address: string) => ({
            call: async function*() {
                const host = address.split(":")[0]!;
                called.push(host);
                const response = responses[host]!;
                if (response === "silent") {
                    await new Promise(() => undefined);
                }
                if (response === "unreachable") {
                    throw new KnapweedError("LINK_CLOSED", "The runner is unreachable", { outcome: "not-run" });
                }
                yield { outcome: response };
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
    return { clock, called, holder };
}

async function outcomeOf(responses: { [host: string]: RunnerResponse; }) {
    const { clock, called, holder } = start(responses);
    const pending = holder.hold(request);
    await clock.advance(2000);
    return { outcome: await pending, called };
}

test("a job over the limit is held by no runner, since the leader rejects it before others are called", async () => {
    assert.deepEqual(await outcomeOf({ a: "over-limit", b: "held", c: "held" }), {
        outcome: "over-limit",
        called: ["a"],
    });
});

test("a job is held while the leader is silent or unreachable", async () => {
    assert.equal((await outcomeOf({ a: "silent", b: "held", c: "held" })).outcome, "held");
    assert.equal((await outcomeOf({ a: "unreachable", b: "held", c: "held" })).outcome, "held");
});

test("the outcome is held with enough copies, and not-held only if no copy can exist", async () => {
    assert.equal((await outcomeOf({ a: "held", b: "held", c: "unreachable" })).outcome, "held");
    assert.equal((await outcomeOf({ a: "held", b: "unreachable", c: "unreachable" })).outcome, "unknown");
    assert.equal((await outcomeOf({ a: "unreachable", b: "not-held", c: "unreachable" })).outcome, "not-held");
});
