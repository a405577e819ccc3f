import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { SideHandle } from "./sideHandle.js";

/** Chooses the side that a call goes to. */
export interface UpstreamSelector {
    /** @param opts.affinityKey calls with the same key share a prompt prefix */
    select(opts: { candidates: SideHandle[]; affinityKey: string | undefined; }): SideHandle | undefined;
    /** Learns from a call that has ended. */
    observe(opts: { instanceId: InstanceId; kind: "success" | "failure"; durationMs: number; }): void;
}
