import type { UpstreamCandidate } from "@knapweedwood/routing.choice/upstreamCandidate";
import type { LinkedSide } from "./linkedSide.js";

/** Number of prompt tokens waiting for prefill that count as one queued request. */
const PREFILL_TOKENS_PER_REQUEST = 128;

/** Converts a linked side to a candidate for the choice of an upstream. */
export function toCandidate(side: LinkedSide): UpstreamCandidate {
    return {
        instanceId: side.record.instanceId,
        zone: side.record.zone,
        state: side.status?.state ?? side.record.state,
        linkState: side.link.state,
        running: side.status?.onlineRunning ?? 0,
        queued: (side.status?.onlineQueued ?? 0) + (side.status?.onlinePrefillTokens ?? 0) / PREFILL_TOKENS_PER_REQUEST,
        countedAtMs: side.statusReceivedAtMs,
        role: side.status?.role,
    };
}
