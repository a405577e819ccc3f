import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { UpstreamCandidate } from "../src/upstreamCandidate.js";

/** Returns live and idle candidates of one zone, with open links. */
export function testCandidates(count: number, zone = "zone-a"): UpstreamCandidate[] {
    return Array.from({ length: count }, (_, index) => ({
        instanceId: `${zone}-upstream-${index}` as InstanceId,
        zone: zone as ZoneName,
        state: "live",
        linkState: "open",
        running: 0,
        queued: 0,
    }));
}
