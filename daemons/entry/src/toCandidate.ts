import type { UpstreamCandidate } from "@knapweedwood/routing.choice/upstreamCandidate";
import type { SideHandle } from "./sideHandle.js";

/** A side as the choice of an upstream sees it. */
export function toCandidate(side: SideHandle): UpstreamCandidate {
    return {
        instanceId: side.record.instanceId,
        zone: side.record.zone,
        state: side.status?.state ?? side.record.state,
        linkState: side.link.state,
        running: side.status?.onlineRunning ?? 0,
        queued: side.status?.onlineQueued ?? 0,
        countedAtMs: side.statusAtMs,
        role: side.status?.role,
    };
}
