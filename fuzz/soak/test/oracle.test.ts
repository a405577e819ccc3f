import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { jobRoutes } from "../src/jobRoutes.js";
import { oracle } from "../src/oracle.js";
import { pause } from "../src/pause.js";
import { SoakBalancer } from "../src/soakBalancer.js";
import { SoakCaller } from "../src/soakCaller.js";
import type { SoakGateway } from "../src/soakGateway.js";
import { SoakJobClient } from "../src/soakJobClient.js";
import { ANSWER_SERVICE, MODEL_SERVICE } from "../src/soakNames.js";
import { SoakRecord } from "../src/soakRecord.js";
import { SoakTeams } from "../src/soakTeams.js";
import { SoakUpstream } from "../src/soakUpstream.js";
import type { Breakage } from "./breakage.js";
import { BrokenGateway } from "./brokenGateway.js";

const CALLERS_PORT = 8144;
const READINESS_PORT = 8140;
const BEFORE_CHANGES_MS = 500;
const AFTER_CHANGES_MS = 4500;
const CHECK_INTERVAL_MS = 500;
/** Far longer than a loaded machine needs. A wait that reaches it fails the test. */
const MAX_WAIT_MS = 120_000;
const FIRST_SUBNET = 221;
/** Tests that run at the same time on one machine have different addresses. */
const MAX_HOST_NUMBER = 250;
/** The breakages with a caller whose request ends upstreams. */
const CRASHING_BREAKAGES: Breakage[] = ["nothing", "passes-crashing-requests", "rejects-sound-requests"];
/** How long before the start of the test all faults ended. More than the recovery time that the oracle allows. */
const FAULTS_ENDED_BEFORE_MS = 20_000;

/**
 * Runs callers, jobs and probes against a gateway with one breakage until the oracle finds that `promise` is broken. With
 * the breakage `nothing`, runs until all jobs have ended.
 *
 * @returns the promises found broken
 */
async function findBrokenPromises(
    breakage: Breakage,
    subnet: number,
    opts: { promise?: string; hasTeams?: boolean; } = {},
): Promise<string[]> {
    const clock = new SystemClock();
    const nowMs = () => clock.nowMs();
    const record = new SoakRecord();
    const random = new SeededRandom(12_345);
    const softwareVersion = "v0" as SoftwareVersion;
    const upstreams = [MODEL_SERVICE, MODEL_SERVICE, ANSWER_SERVICE, ANSWER_SERVICE]
        .map((service, index) =>
            new SoakUpstream(`u-${index}`, {
                service,
                zone: "a",
                softwareVersion,
                slots: 8,
                maxQueued: 8,
                record,
                random,
                nowMs,
            })
        );
    const host = `127.${subnet}.${1 + process.pid % MAX_HOST_NUMBER}.1`;
    await Promise.all(upstreams.map(upstream => upstream.listen(host)));
    const teams = opts.hasTeams ? new SoakTeams({ record, random: new SeededRandom(54_321) }) : undefined;
    teams?.advance(1);
    const gateway = new BrokenGateway({ breakage, upstreams, keys: record.teamKeys });
    await gateway.listen(host, [CALLERS_PORT, READINESS_PORT]);
    ["fetch", "book", "only-1", "only-2"].forEach(name => record.servicesOfPrefix.set(`/${name}/`, ANSWER_SERVICE));
    ["stream", "stream-once", ...jobRoutes.map(route => route.name)].forEach(name =>
        record.servicesOfPrefix.set(`/${name}/`, MODEL_SERVICE)
    );
    record.versions.push({ version: 1, writtenAtMs: nowMs(), ackedAtMs: nowMs() });
    record.faultsEndedAtMs = nowMs() - FAULTS_ENDED_BEFORE_MS;

    const address: SoakGateway = {
        name: "g",
        host,
        callersPort: CALLERS_PORT,
        readinessPort: READINESS_PORT,
        startNumber: () => 1,
    };
    const balancer = new SoakBalancer({ gateways: [address], random });
    const controller = new AbortController();
    const shared = { balancer, record, random, nowMs, teams, newestVersion: () => gateway.version };
    const callers = Array.from({ length: 4 }, (_, index) => new SoakCaller({ ...shared, name: `c${index}` }));
    const crashingCallers = CRASHING_BREAKAGES.includes(breakage)
        ? [new SoakCaller({ ...shared, name: "crashing" })]
        : [];
    const running = [
        ...callers.slice(1).map(caller => caller.run(controller.signal)),
        callers[0]!.probe([address], controller.signal),
        ...crashingCallers.map(caller => caller.sendCrashing(controller.signal)),
    ];
    const cancelledShare = breakage === "runs-cancelled-items" ? 1 : 0;
    const jobs = new SoakJobClient({ ...shared, name: "j", cancelledShare });
    const submitting = new AbortController();
    const stopGateway = () => {
        record.faults.push({ kind: "stop", target: "g", fromMs: nowMs(), toMs: nowMs(), isPlanned: true });
        gateway.stop();
    };
    const brokenPromises = () => [...new Set(oracle(record).map(violation => violation.promise))];
    running.push(jobs.run(400, submitting.signal));
    await pause(BEFORE_CHANGES_MS);

    gateway.version = 2;
    teams?.advance(2);
    record.versions.push({ version: 2, writtenAtMs: nowMs(), ackedAtMs: nowMs() });
    gateway.drain(upstreams[0]!);
    record.drains.push({ upstreamId: upstreams[0]!.id, ackedAtMs: nowMs() });
    if (breakage === "nothing") {
        stopGateway();
        await pause(AFTER_CHANGES_MS);
        submitting.abort();
        await waitUntil(() =>
            record.jobs.every(job => job.traits.isInvalid || job.results.length === job.items.length)
        );
    }
    else {
        await waitUntil(async () => {
            await jobs.readAllResults();
            if (breakage === "cuts-when-stopping") {
                stopGateway();
            }
            return brokenPromises().includes(opts.promise!);
        });
    }
    submitting.abort();
    controller.abort();
    await Promise.all(running);
    jobs.stop();
    await jobs.readAllResults();
    record.endedAtMs = nowMs();
    balancer.close();
    gateway.close();
    upstreams.forEach(upstream => upstream.close());
    return brokenPromises();
}

/** Resolves when `isDone` returns true, or after `MAX_WAIT_MS`. */
async function waitUntil(isDone: () => boolean | Promise<boolean>): Promise<void> {
    const endsAtMs = performance.now() + MAX_WAIT_MS;
    while (!await isDone() && performance.now() < endsAtMs) {
        await pause(CHECK_INTERVAL_MS);
    }
}

const cases: { breakage: Breakage; promise: string; hasTeams?: boolean; }[] = [
    { breakage: "swaps-answers", promise: "answer-belongs" },
    { breakage: "runs-twice", promise: "run-once" },
    { breakage: "lies-about-runs", promise: "not-run-is-true" },
    { breakage: "changes-bodies", promise: "unchanged" },
    { breakage: "drops-events", promise: "events-in-order" },
    { breakage: "mixes-versions", promise: "one-software-version" },
    { breakage: "mixes-services", promise: "right-service" },
    { breakage: "goes-back", promise: "configuration-never-back" },
    { breakage: "keeps-old-routes", promise: "configuration-in-force" },
    { breakage: "ignores-draining", promise: "drained" },
    { breakage: "cuts-when-stopping", promise: "stop-cuts-nothing" },
    { breakage: "forgets-jobs", promise: "job-kept" },
    { breakage: "cuts-texts", promise: "item-text-whole" },
    { breakage: "gives-items-up", promise: "given-up-only-when-allowed" },
    { breakage: "moves-results", promise: "positions-stay" },
    { breakage: "lists-items-twice", promise: "item-once" },
    { breakage: "runs-cancelled-items", promise: "cancelled-stays" },
    { breakage: "runs-refused-jobs", promise: "refused-job-never-runs" },
    { breakage: "passes-crashing-requests", promise: "crashing-request-stopped" },
    { breakage: "rejects-sound-requests", promise: "sound-requests-served" },
    { breakage: "serves-nobody", promise: "recovers" },
    { breakage: "passes-keys", promise: "key-kept", hasTeams: true },
    { breakage: "mixes-teams", promise: "right-team", hasTeams: true },
    { breakage: "serves-withdrawn-keys", promise: "withdrawn-key-ends", hasTeams: true },
    { breakage: "rejects-valid-keys", promise: "allowed-never-rejected", hasTeams: true },
    { breakage: "shows-jobs", promise: "job-of-team", hasTeams: true },
];

test("the oracle finds nothing where nothing is broken", async () => {
    assert.deepEqual(await findBrokenPromises("nothing", FIRST_SUBNET - 1), []);
});

test("the oracle finds nothing where nothing is broken between teams", async () => {
    assert.deepEqual(await findBrokenPromises("nothing", FIRST_SUBNET + cases.length, { hasTeams: true }), []);
});

test("the oracle finds each promise that is broken on purpose", async () => {
    const found = await Promise.all(cases.map(async ({ breakage, promise, hasTeams = false }, index) => ({
        breakage,
        isFound: (await findBrokenPromises(breakage, FIRST_SUBNET + index, { promise, hasTeams })).includes(promise),
    })));
    assert.deepEqual(found.filter(entry => !entry.isFound), []);
});
