import type { Random } from "@knapweedwood/core.random/random";
import type { SideHandle } from "./sideHandle.js";
import type { UpstreamSelector } from "./upstreamSelector.js";

/** Takes the less loaded of two sides drawn at random (Mitzenmacher, 2001). */
export class LeastLoadedSelector implements UpstreamSelector {
    private readonly random: Random;

    constructor(opts: { random: Random; }) {
        this.random = opts.random;
    }

    select(opts: { candidates: SideHandle[]; }): SideHandle | undefined {
        const first = this.draw(opts.candidates);
        const second = this.draw(opts.candidates.filter(side => side !== first));
        if (first === undefined || second === undefined) {
            return first;
        }
        return loadOf(second) < loadOf(first) ? second : first;
    }

    observe(): void {
        // Load alone decides.
    }

    private draw(candidates: SideHandle[]): SideHandle | undefined {
        return candidates[this.random.nextInteger(candidates.length)];
    }
}

function loadOf(side: SideHandle): number {
    const reported = (side.status?.onlineRunning ?? 0) + (side.status?.onlineQueued ?? 0);
    return Math.max(reported, side.inFlight);
}
