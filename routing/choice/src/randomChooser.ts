import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { Random } from "@knapweedwood/core.random/random";
import type { ChooseRequest } from "./chooseRequest.js";
import type { UpstreamChooser } from "./upstreamChooser.js";

/** Chooses a random live upstream. This is the baseline that uses no load information. */
export class RandomChooser implements UpstreamChooser {
    private readonly random: Random;

    constructor(random: Random) {
        this.random = random;
    }

    choose({ candidates, excluded }: ChooseRequest): InstanceId | undefined {
        const live = candidates.filter(({ instanceId, state, linkState }) =>
            state === "live" && linkState === "open" && excluded?.includes(instanceId) !== true
        );
        return live.at(this.random.nextInteger(Math.max(1, live.length)))?.instanceId;
    }

    observe(): void {
        return;
    }
}
