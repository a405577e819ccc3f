import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { BudgetedRetryPolicy } from "../src/budgetedRetryPolicy.js";
import { HedgePolicy } from "../src/hedgePolicy.js";
import { RetryBudget } from "../src/retryBudget.js";
import type { RetryState } from "../src/retryState.js";

const SEED = 20_261_203;

test("retries never exceed a tenth of the requests plus the maximum balance, in any order", () => {
    fc.assert(
        fc.property(fc.array(fc.boolean(), { maxLength: 2000, size: "max" }), events => {
            const budget = new RetryBudget({ ratio: 0.1, maxBalance: 5 });
            let requests = 0;
            let retries = 0;
            events.forEach(isRequest => {
                if (isRequest) {
                    budget.onRequest(0);
                    requests += 1;
                    return;
                }
                retries += budget.trySpend(0) ? 1 : 0;
                assert.ok(retries <= requests * 0.1 + 5 + 1e-6);
            });
        }),
        { seed: SEED },
    );
});

test("if every attempt fails, retries increase the load by a tenth", () => {
    const budget = new RetryBudget();
    const policy = new BudgetedRetryPolicy({ budget, random: new SeededRandom(SEED) });
    let sent = 0;
    const send = (attempt: number): void => {
        sent += 1;
        const decision = policy.decide({ attempt, outcome: "not-run", statusCode: 503, repeatable: true, nowMs: 0 });
        if (decision.kind === "retry") {
            send(attempt + 1);
        }
    };
    Array.from({ length: 10_000 }, () => {
        budget.onRequest(0);
        send(1);
    });
    assert.ok(sent > 10_900 && sent <= 11_010, `${sent} attempts of 10000 requests`);
});

test("a call is retried only if that is safe, within the deadline and useful", () => {
    const states: fc.Arbitrary<RetryState> = fc.record({
        attempt: fc.integer({ min: 1, max: 5 }),
        outcome: fc.constantFrom("answered", "not-run", "unknown"),
        statusCode: fc.option(fc.integer({ min: 200, max: 599 }), { nil: undefined }),
        repeatable: fc.boolean(),
        retryAfterMs: fc.option(fc.integer({ min: 0, max: 5000 }), { nil: undefined }),
        deadlineMs: fc.option(fc.integer({ min: 0, max: 10_000 }), { nil: undefined }),
        nowMs: fc.integer({ min: 0, max: 10_000 }),
    });
    fc.assert(
        fc.property(states, fc.integer(), (state, seed) => {
            const policy = new BudgetedRetryPolicy({ budget: new RetryBudget(), random: new SeededRandom(seed) });
            const decision = policy.decide(state);
            const isSafe = state.outcome === "not-run" || state.outcome === "unknown" && state.repeatable;
            if (decision.kind === "retry") {
                assert.ok(isSafe);
                assert.ok(state.attempt < 3);
                assert.ok(decision.delayMs >= (state.retryAfterMs ?? 0));
                assert.ok(state.nowMs + decision.delayMs < (state.deadlineMs ?? Infinity));
                return;
            }
            const isTemporary = state.statusCode === undefined || state.statusCode >= 500 || state.statusCode < 400
                || [408, 425, 429].includes(state.statusCode);
            const hasTime = state.nowMs + Math.max(100, state.retryAfterMs ?? 0) + 5 <= (state.deadlineMs ?? Infinity);
            assert.ok(!(isSafe && isTemporary && hasTime && state.attempt < 3), `gave up: ${decision.reason}`);
        }),
        { seed: SEED, numRuns: 2000 },
    );
});

test("a hedge waits for the quantile of durations and is taken from the retry budget", () => {
    const budget = new RetryBudget({ maxBalance: 1 });
    const hedges = new HedgePolicy({ budget });
    assert.equal(hedges.hedgeAfterMs({ repeatable: true, nowMs: 0 }), undefined);
    Array.from({ length: 256 }, (_, index) => hedges.observe(index));
    const delayMs = hedges.hedgeAfterMs({ repeatable: true, nowMs: 0 })!;
    assert.ok(delayMs >= 240 && delayMs <= 245);
    assert.equal(hedges.hedgeAfterMs({ repeatable: false, nowMs: 0 }), undefined);
    assert.equal(hedges.hedgeAfterMs({ repeatable: true, nowMs: 0, deadlineMs: 250 }), undefined);
    assert.ok(hedges.tryHedge(0));
    assert.ok(!budget.trySpend(0));
});
