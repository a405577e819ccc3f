import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ObservedUpstream } from "./observedUpstream.js";

/** Limits how many upstreams load weights at once. An upstream that is already loading keeps its slot. */
export class LoadBudget {
    private readonly loading: Set<InstanceId>;
    private readonly limit: number;

    constructor(opts: { upstreams: readonly ObservedUpstream[]; limit: number; }) {
        this.limit = opts.limit;
        this.loading = new Set(
            opts.upstreams
                .filter(upstream => upstream.engine?.models.some(model => model.state === "loading") === true)
                .map(upstream => upstream.instanceId),
        );
    }

    /** Takes a slot for an upstream. @returns whether the upstream may load now */
    take(instanceId: InstanceId): boolean {
        if (this.loading.has(instanceId)) {
            return true;
        }
        if (this.loading.size >= this.limit) {
            return false;
        }
        this.loading.add(instanceId);
        return true;
    }
}
