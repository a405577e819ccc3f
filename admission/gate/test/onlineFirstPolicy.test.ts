import { stepDurationMs } from "@knapweedwood/admission.cost-model/stepDurationMs";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { BatchKey } from "../src/batchKey.js";
import { batchStepLimitMs } from "../src/batchStepLimitMs.js";
import type { GateState, RunningBatchItem, WaitingBatchItem } from "../src/gateState.js";
import { OnlineFirstPolicy } from "../src/onlineFirstPolicy.js";

const NOW_MS = 100_000;
const policy = new OnlineFirstPolicy();

function stateOf(parts: {
    online?: Partial<GateState["online"]>;
    running?: Partial<RunningBatchItem>[];
    waiting?: Partial<WaitingBatchItem>[];
    balance?: number;
}): GateState {
    return {
        nowMs: NOW_MS,
        objective: { tokenGapObjectiveMs: 50, batchBalance: parts.balance ?? 1 },
        costs: { fixedMs: 20, perSequenceMs: 1, perPrefillTokenMs: 0.05 },
        limits: { maxSequences: 16, kvTokens: 4000, prefillTokensPerStep: 512 },
        externalSequences: 0,
        online: {
            running: 0,
            kvTokens: 0,
            prefillTokens: 0,
            waiting: [],
            arrivalsPerSecond: 0,
            ...parts.online,
        },
        batch: {
            running: (parts.running ?? []).map((item, index) => ({
                key: `r${index}` as BatchKey,
                prefillTokens: 50,
                kvTokens: 100,
                producedTokens: 10,
                dueAtMs: NOW_MS + 3_600_000,
                isPending: false,
                isPrefilling: false,
                ...item,
            })),
            waiting: (parts.waiting ?? []).map((item, index) => ({
                key: `w${index}` as BatchKey,
                prefillTokens: 50,
                kvTokens: 100,
                dueAtMs: NOW_MS + 3_600_000,
                waitingSinceMs: NOW_MS,
                isResumed: false,
                ...item,
            })),
        },
    };
}

const call = { prefillTokens: 100, kvTokens: 200, waitingSinceMs: NOW_MS };

test("an online call preempts the batch item with the least progress", () => {
    const running = Array.from({ length: 16 }, (_, index) => ({ producedTokens: 20 + index }));
    running[5] = { producedTokens: 1 };
    const decision = policy.decide(stateOf({ online: { waiting: [call] }, running }));
    assert.equal(decision.admitOnline, 1);
    assert.equal(decision.preempt[0], "r5");
    assert.deepEqual(decision.start, []);
});

test("an item that no step has included yet is preempted before any other", () => {
    const running: Partial<RunningBatchItem>[] = Array.from({ length: 16 }, () => ({ producedTokens: 1 }));
    running[9] = { producedTokens: 30, isPending: true, prefillTokens: 1 };
    const decision = policy.decide(stateOf({ online: { waiting: [call] }, running }));
    assert.equal(decision.preempt[0], "r9");
});

test("an online prefill of several steps preempts all batch work", () => {
    const decision = policy.decide(stateOf({ online: { running: 1, prefillTokens: 900 }, running: [{}, {}, {}] }));
    assert.equal(decision.preempt.length, 3);
});

test("any online prefill preempts a batch prefill of several steps", () => {
    const running = [{}, { isPrefilling: true, prefillTokens: 3000 }];
    const decision = policy.decide(stateOf({ online: { running: 1, prefillTokens: 30 }, running }));
    assert.deepEqual(decision.preempt, ["r1"]);
});

test("a batch prefill waits while it would exceed the step limit, and a smaller one is started", () => {
    const waiting = [{ prefillTokens: 500 }, { prefillTokens: 40 }];
    const decision = policy.decide(stateOf({ online: { running: 6, prefillTokens: 200 }, waiting }));
    assert.deepEqual(decision.start, ["w1"]);
});

test("an item that never fits a step is eventually started, while no online prefill runs", () => {
    const waiting = [{ prefillTokens: 5000, waitingSinceMs: NOW_MS - 60_000 }];
    assert.deepEqual(policy.decide(stateOf({ waiting })).start, ["w0"]);
    const busy = stateOf({ waiting, online: { running: 1, prefillTokens: 60 } });
    assert.deepEqual(policy.decide(busy).start, []);
});

test("the earliest due item starts first, then a preempted one", () => {
    const waiting = [{}, { isResumed: true, prefillTokens: 8 }, { dueAtMs: NOW_MS + 60_000 }];
    assert.deepEqual(policy.decide(stateOf({ waiting })).start, ["w2", "w1", "w0"]);
});

test("the balance limits the step duration that batch work may fill", () => {
    const waiting = Array.from({ length: 16 }, () => ({ prefillTokens: 1 }));
    const startedAt = (balance: number) => policy.decide(stateOf({ waiting, balance })).start.length;
    assert.deepEqual([startedAt(0), startedAt(0.2), startedAt(1)], [0, 6, 16]);
});

test("at balance 0 one item runs at a time, and keeps running alongside online calls", () => {
    const waiting = [{ waitingSinceMs: NOW_MS - 60_000 }, { waitingSinceMs: NOW_MS - 60_000 }];
    const online = { running: 8 };
    assert.deepEqual(policy.decide(stateOf({ waiting, online, balance: 0 })).start, ["w0"]);
    const later = stateOf({ running: [{}], waiting, online, balance: 0 });
    assert.deepEqual([policy.decide(later).preempt, policy.decide(later).start], [[], []]);
});

const sizes = { prefillTokens: fc.integer({ min: 1, max: 2000 }), kvTokens: fc.integer({ min: 1, max: 600 }) };
const states = fc.record({
    online: fc.record({
        running: fc.integer({ min: 0, max: 20 }),
        kvTokens: fc.integer({ min: 0, max: 4000 }),
        prefillTokens: fc.integer({ min: 0, max: 3000 }),
        arrivalsPerSecond: fc.double({ min: 0, max: 100, noNaN: true }),
        waiting: fc.array(fc.record({ ...sizes, waitingSinceMs: fc.constant(NOW_MS) }), { maxLength: 20 }),
    }),
    running: fc.array(fc.record({ ...sizes, isPending: fc.boolean(), producedTokens: fc.nat(100) }), { maxLength: 16 }),
    waiting: fc.array(fc.record({ ...sizes, waitingSinceMs: fc.integer({ min: 0, max: NOW_MS }) }), { maxLength: 20 }),
    balance: fc.double({ min: 0, max: 1, noNaN: true }),
});

test("online admission does not depend on batch work, and batch work never exceeds the capacity", () => {
    fc.assert(
        fc.property(states, parts => {
            const state = stateOf(parts);
            const decision = policy.decide(state);
            assert.equal(
                decision.admitOnline,
                policy.decide(stateOf({ ...parts, running: [], waiting: [] })).admitOnline,
            );
            const kept = state.batch.running.filter(item => !decision.preempt.includes(item.key));
            const started = state.batch.waiting.filter(item => decision.start.includes(item.key));
            const admitted = state.online.waiting.slice(0, decision.admitOnline);
            const sequences = state.online.running + admitted.length + kept.length + started.length;
            assert.ok(kept.length + started.length === 0 || sequences <= state.limits.maxSequences);
            const kvTokens = [...kept, ...started, ...admitted]
                .reduce((sum, item) => sum + item.kvTokens, state.online.kvTokens);
            assert.ok(kept.length + started.length === 0 || kvTokens <= state.limits.kvTokens);
            if (started.length > 1) {
                const pending = [...kept.filter(item => item.isPending), ...started, ...admitted];
                const prefillTokens = pending
                    .reduce((sum, item) => sum + item.prefillTokens, state.online.prefillTokens);
                const stepMs = stepDurationMs(state.costs, {
                    sequences,
                    prefillTokens: Math.min(prefillTokens, state.limits.prefillTokensPerStep),
                });
                assert.ok(stepMs <= batchStepLimitMs(state), `${stepMs}`);
            }
        }),
        { seed: 11, numRuns: 2000 },
    );
});
