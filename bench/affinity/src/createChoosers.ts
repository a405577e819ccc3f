import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { AffinityChooser } from "@knapweedwood/routing.choice/affinityChooser";
import { FullKnowledgeChooser } from "@knapweedwood/routing.choice/fullKnowledgeChooser";
import { RandomChooser } from "@knapweedwood/routing.choice/randomChooser";
import type { UpstreamChooser } from "@knapweedwood/routing.choice/upstreamChooser";
import type { ArmName } from "./armName.js";

interface CreateChoosersOptions {
    arm: ArmName;
    entryCount: number;
    seed: number;
    affinityLoadFactor: number;
    costOf: (instanceId: InstanceId) => number;
}

/** Returns one chooser for each entry, shape [entryCount]. */
export function createChoosers(opts: CreateChoosersOptions): UpstreamChooser[] {
    const { arm, entryCount, seed, costOf, affinityLoadFactor } = opts;
    return Array.from({ length: entryCount }, (_, index) => {
        const random = new SeededRandom(seed + index);
        if (arm === "random") {
            return new RandomChooser(random);
        }
        if (arm === "full-knowledge") {
            return new FullKnowledgeChooser({ costOf });
        }
        return new AffinityChooser({
            entryId: `entry-${index}` as InstanceId,
            zone: "zone-a" as ZoneName,
            random,
            affinityLoadFactor,
        });
    });
}
