import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DemandShares } from "../src/demandShares.js";
import { EqualShares } from "../src/equalShares.js";
import type { LimitShares } from "../src/limitShares.js";
import { SharedLimiter } from "../src/sharedLimiter.js";
import type { UsageReport } from "../src/usageReport.js";

const SEED = 20_261_203;
const team = "team" as TeamId;
const key = "key" as KeyId;
const STEP_MS = 5;
const REPORT_INTERVAL_MS = 500;
const REPORT_DELAY_MS = 50;
const LIMIT_PER_SECOND = 100;

interface Fleet {
    limiters: SharedLimiter[];
    shares: LimitShares[];
}

function createFleet(entryCount: number): Fleet {
    const shares = Array.from({ length: entryCount }, (_, index) =>
        new DemandShares({
            entryId: `entry-${index}` as InstanceId,
            entryCount: () => entryCount,
            reportIntervalMs: REPORT_INTERVAL_MS,
        }));
    return { shares, limiters: shares.map(entryShares => new SharedLimiter({ shares: entryShares })) };
}

/** Runs a fleet. @returns the times at which requests were admitted, in milliseconds; shape [admitted] */
function run(fleet: Fleet, demandPerSecond: (entry: number, nowMs: number) => number, durationMs: number): number[] {
    const random = new SeededRandom(SEED);
    const admittedAtMs: number[] = [];
    const pendingReports: { report: UsageReport; dueMs: number; }[] = [];
    for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
        fleet.limiters.forEach((limiter, entry) => {
            if (random.next() < demandPerSecond(entry, nowMs) * STEP_MS / 1000) {
                const limits = { requestsPerSecond: LIMIT_PER_SECOND };
                const { allowed } = limiter.tryAcquire({ teamId: team, limits, tokens: 0, nowMs });
                admittedAtMs.push(...(allowed ? [nowMs] : []));
            }
        });
        fleet.shares.filter(entryShares => entryShares instanceof DemandShares).forEach((entryShares, entry) => {
            if ((nowMs + entry * 30) % REPORT_INTERVAL_MS === 0) {
                pendingReports.push({ report: entryShares.report(nowMs), dueMs: nowMs + REPORT_DELAY_MS });
            }
            pendingReports.filter(({ dueMs }) => dueMs === nowMs).forEach(({ report }) =>
                entryShares.onReport(report, nowMs)
            );
        });
    }
    return admittedAtMs;
}

function admittedBetween(admittedAtMs: number[], fromMs: number, untilMs: number): number {
    return admittedAtMs.filter(atMs => atMs >= fromMs && atMs < untilMs).length;
}

test("all entries together stay within the stated bound, however demand moves between them", context => {
    let worstShare = 0;
    const phase = fc.array(fc.integer({ min: 0, max: 80 }), { minLength: 6, maxLength: 6 });
    fc.assert(
        fc.property(fc.array(phase, { minLength: 2, maxLength: 4 }), phases => {
            const phaseMs = 3000;
            const demand = (entry: number, nowMs: number) => phases[Math.floor(nowMs / phaseMs)][entry];
            const admitted = run(createFleet(6), demand, phases.length * phaseMs);
            const windowMs = 2000;
            const agreementMs = 2 * REPORT_INTERVAL_MS + REPORT_DELAY_MS;
            const burstMs = 1000;
            for (let fromMs = 0; fromMs + windowMs <= phases.length * phaseMs; fromMs += 250) {
                const bound = LIMIT_PER_SECOND * (windowMs + agreementMs + burstMs) / 1000 + 6;
                const count = admittedBetween(admitted, fromMs, fromMs + windowMs);
                worstShare = Math.max(worstShare, count / (LIMIT_PER_SECOND * windowMs / 1000));
                assert.ok(count <= bound);
            }
        }),
        { seed: SEED, numRuns: 30 },
    );
    context.diagnostic(`worst window of 2 s: ${worstShare.toFixed(2)} of the limit`);
});

test("steady demand above the limit gets the limit, even if all demand is at one entry", context => {
    [[200, 0, 0, 0, 0, 0], [80, 80, 80, 80, 80, 80], [10, 10, 10, 90, 90, 10]].forEach(demands => {
        const admitted = run(createFleet(6), entry => demands[entry], 20_000);
        const perSecond = admittedBetween(admitted, 5000, 20_000) / 15;
        context.diagnostic(`${perSecond.toFixed(1)} of ${LIMIT_PER_SECOND} a second for ${demands.join()}`);
        const wanted = Math.min(LIMIT_PER_SECOND, demands.reduce((sum, demand) => sum + Math.min(100, demand), 0));
        assert.ok(perSecond <= wanted * 1.05, `${perSecond} for ${demands}`);
        assert.ok(perSecond >= wanted * 0.85, `${perSecond} for ${demands}`);
    });
});

test("equal shares waste most of a limit if its caller uses only one entry", () => {
    const shares = Array.from({ length: 6 }, () => new EqualShares(() => 6));
    const fleet = { shares, limiters: shares.map(entryShares => new SharedLimiter({ shares: entryShares })) };
    const admitted = run(fleet, entry => entry === 0 ? 100 : 0, 10_000);
    assert.ok(admitted.length < 200);
});

test("a request rejected by its key's limit does not count against its team's limit", () => {
    const limiter = new SharedLimiter({ shares: new EqualShares(() => 1) });
    const limits = { requestsPerSecond: 5 };
    const keyLimits = { requestsPerSecond: 1 };
    const acquire = (keyId: KeyId) =>
        limiter.tryAcquire({ teamId: team, keyId, limits, keyLimits, tokens: 0, nowMs: 0 });
    assert.ok(acquire(key).allowed);
    Array.from({ length: 20 }, () => assert.equal(acquire(key).rejectedBy, "requests"));
    assert.ok(
        Array.from({ length: 4 }, (_, index) => acquire(`other-${index}` as KeyId)).every(decision => decision.allowed),
    );
    assert.ok(!acquire("last" as KeyId).allowed);
});

test("release frees concurrency and returns unused tokens", () => {
    const limiter = new SharedLimiter({ shares: new EqualShares(() => 1) });
    const limits = { concurrency: 2, tokensPerSecond: 100 };
    const acquire = (nowMs: number) => limiter.tryAcquire({ teamId: team, limits, tokens: 50, nowMs });
    assert.ok(acquire(0).allowed);
    assert.ok(acquire(0).allowed);
    assert.equal(acquire(0).rejectedBy, "concurrency");
    limiter.release({ teamId: team, limits, tokens: 50, usedTokens: 50, nowMs: 0 });
    assert.equal(acquire(0).rejectedBy, "tokens");
    limiter.release({ teamId: team, limits, tokens: 50, usedTokens: 0, nowMs: 0 });
    assert.ok(acquire(0).allowed);
});
