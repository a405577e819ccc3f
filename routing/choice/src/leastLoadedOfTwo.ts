import type { Random } from "@knapweedwood/core.random/random";
import type { WeightedLoad } from "./weightedLoad.js";

/** Returns the less loaded of two random candidates (Mitzenmacher, 2001); undefined if there are none. */
export function leastLoadedOfTwo(loads: readonly WeightedLoad[], random: Random): WeightedLoad | undefined {
    if (loads.length < 2) {
        return loads.at(0);
    }
    const first = random.nextInteger(loads.length);
    const other = random.nextInteger(loads.length - 1);
    const second = other >= first ? other + 1 : other;
    return loads[second].load < loads[first].load ? loads[second] : loads[first];
}
