import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ChooseRequest } from "./chooseRequest.js";
import type { UpstreamChooser } from "./upstreamChooser.js";

interface FullKnowledgeChooserOptions {
    /** Returns the exact cost of the request at an upstream, such as its time to the first token in milliseconds. */
    costOf: (instanceId: InstanceId, request: ChooseRequest) => number;
}

/** Chooses by the true state of all upstreams, as an upper bound for other choosers. For simulations only. */
export class FullKnowledgeChooser implements UpstreamChooser {
    private readonly opts: FullKnowledgeChooserOptions;

    constructor(opts: FullKnowledgeChooserOptions) {
        this.opts = opts;
    }

    choose(request: ChooseRequest): InstanceId | undefined {
        return request.candidates
            .filter(({ state, linkState }) => state === "live" && linkState === "open")
            .map(({ instanceId }) => ({ instanceId, cost: this.opts.costOf(instanceId, request) }))
            .sort((left, right) => left.cost - right.cost)
            .at(0)?.instanceId;
    }

    observe(): void {
        return;
    }
}
