import type { ItemHistory } from "@knapweedwood/batch.jobs/itemHistory";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { Random } from "@knapweedwood/core.random/random";
import type { AttemptDecision } from "./attemptDecision.js";
import type { FailedAttempt } from "./failedAttempt.js";

const MAX_FAILED_UPSTREAMS = 3;
const MAX_ITEM_FAILURES = 6;
const MAX_LOST_UPSTREAMS = 3;
const MAX_OVERDUE_INSTANCE_FAILURES = 20;
const BACKOFF_BASE_MS = 500;
const BACKOFF_LIMIT_MS = 10_000;

/**
 * Decides whether an item is retried. Failures caused by an instance do not count against the item until its job is
 * overdue. An item that fails at several upstreams, or is in flight when several are lost, fails permanently. So does
 * an item whose call may have run and is not repeatable.
 */
export function decideAfterAttempt(opts: {
    nowMs: number;
    dueAtMs: number;
    repeatable: boolean;
    index: number;
    history: ItemHistory | undefined;
    attempt: FailedAttempt;
    random: Random;
}): AttemptDecision {
    const { attempt, nowMs } = opts;
    if (!opts.repeatable && attempt.mayHaveRun) {
        const message = "The call may have run and may not be repeated";
        return { kind: "abandoned", code: "outcome_unknown", message };
    }
    const history = addAttempt(opts.history ?? emptyHistory(opts.index), attempt);
    if (history.upstreams.length >= MAX_FAILED_UPSTREAMS || history.itemFailures >= MAX_ITEM_FAILURES) {
        return { kind: "abandoned", code: attempt.code, message: attempt.message };
    }
    if (history.lostUpstreams.length >= MAX_LOST_UPSTREAMS) {
        const message = `${MAX_LOST_UPSTREAMS} upstreams were lost while they ran the item`;
        return { kind: "abandoned", code: "upstreams_lost", message };
    }
    if (nowMs > opts.dueAtMs && history.instanceFailures >= MAX_OVERDUE_INSTANCE_FAILURES) {
        return { kind: "abandoned", code: "attempts_exhausted", message: attempt.message };
    }
    const failureCount = history.itemFailures + history.instanceFailures;
    const ceilingMs = Math.min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2 ** Math.min(failureCount - 1, 16));
    return { kind: "retry", notBeforeMs: nowMs + ceilingMs * opts.random.next(), history };
}

function emptyHistory(index: number): ItemHistory {
    return { index, itemFailures: 0, instanceFailures: 0, upstreams: [], lostUpstreams: [] };
}

function addAttempt(history: ItemHistory, attempt: FailedAttempt): ItemHistory {
    const isItemFailure = attempt.cause === "item";
    const isUpstreamLoss = attempt.cause === "upstream-lost";
    return {
        index: history.index,
        itemFailures: history.itemFailures + Number(isItemFailure),
        instanceFailures: history.instanceFailures + Number(!isItemFailure),
        upstreams: isItemFailure ? withInstance(history.upstreams, attempt.upstream) : history.upstreams,
        lostUpstreams: isUpstreamLoss ? withInstance(history.lostUpstreams, attempt.upstream) : history.lostUpstreams,
    };
}

function withInstance(instances: InstanceId[], instance: InstanceId): InstanceId[] {
    return instances.includes(instance) ? instances : [...instances, instance];
}
