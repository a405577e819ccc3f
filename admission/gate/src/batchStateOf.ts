import type { EngineStreams } from "./engineStreams.js";
import type { GateState } from "./gateState.js";
import type { TrackedItem } from "./trackedItem.js";

/** Returns the batch part of the policy's input. Items whose streams are being cancelled are in neither list. */
export function batchStateOf(items: TrackedItem[], streams: EngineStreams): GateState["batch"] {
    return {
        running: items.flatMap(({ key, item, size, run }) =>
            run === undefined || run.stopReason !== undefined ? [] : {
                key,
                ...size,
                producedTokens: run.producedTokens,
                dueAtMs: item.dueAtMs,
                isPending: streams.isPending(run.stream),
                isPrefilling: !run.stream.hasFirstToken && !streams.isPending(run.stream),
            }
        ),
        waiting: items.flatMap(({ key, item, size, run, waitingSinceMs, isResumed }) =>
            run === undefined ? { key, ...size, dueAtMs: item.dueAtMs, waitingSinceMs, isResumed } : []
        ),
    };
}
