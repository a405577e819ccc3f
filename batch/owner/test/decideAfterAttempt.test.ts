import type { ItemHistory } from "@knapweedwood/batch.jobs/itemHistory";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { decideAfterAttempt } from "../src/decideAfterAttempt.js";
import type { FailedAttempt } from "../src/failedAttempt.js";

const random = new SeededRandom(1);

function attempt(upstream: string, cause: FailedAttempt["cause"], mayHaveRun = true): FailedAttempt {
    return { upstream: upstream as InstanceId, code: "engine_error", message: "failed", cause, mayHaveRun };
}

/** Runs attempts until the item fails permanently. @returns how many it took, and the error code */
function runAttempts(attempts: FailedAttempt[], opts: { repeatable: boolean; nowMs: number; }) {
    let history: ItemHistory | undefined;
    for (const [position, failed] of attempts.entries()) {
        const decision = decideAfterAttempt({ ...opts, dueAtMs: 1000, index: 0, history, attempt: failed, random });
        if (decision.kind === "abandoned") {
            return { count: position + 1, code: decision.code };
        }
        assert.ok(decision.notBeforeMs >= opts.nowMs && decision.notBeforeMs <= opts.nowMs + 60_000);
        history = decision.history;
    }
    return { count: attempts.length, code: undefined };
}

const opts = { repeatable: true, nowMs: 0 };

test("an item that fails at three upstreams fails permanently with its last error code", () => {
    const attempts = ["a", "a", "b", "c", "d"].map(upstream => attempt(upstream, "item"));
    assert.deepEqual(runAttempts(attempts, opts), { count: 4, code: "engine_error" });
});

test("failures of an instance do not count against an item before its job is overdue", () => {
    const attempts = Array.from({ length: 40 }, (_, index) => attempt(`u${index}`, "instance"));
    assert.deepEqual(runAttempts(attempts, opts), { count: 40, code: undefined });
    assert.deepEqual(runAttempts(attempts, { ...opts, nowMs: 2000 }), { count: 20, code: "attempts_exhausted" });
});

test("an item fails permanently after the loss of three upstreams", () => {
    const attempts = ["a", "b", "c", "d"].map(upstream => attempt(upstream, "upstream-lost"));
    assert.deepEqual(runAttempts(attempts, opts), { count: 3, code: "upstreams_lost" });
});

test("a call that may not be repeated is not retried once it may have run", () => {
    const once = { ...opts, repeatable: false };
    assert.deepEqual(runAttempts([attempt("a", "instance")], once), { count: 1, code: "outcome_unknown" });
    assert.deepEqual(runAttempts([attempt("a", "instance", false)], once), { count: 1, code: undefined });
});
