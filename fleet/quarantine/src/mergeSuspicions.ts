import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import type { Suspicion } from "./suspicion.js";

/** Number of crashes that are remembered of a part. */
const MAX_CRASHES = 8;
/** Number of withdrawn crashes that are remembered of a part. Further ones stay counted as crashes. */
const MAX_WITHDRAWN = 24;

/** Returns what follows from two suspicions of the same part; `known` itself if `received` adds nothing. */
export function mergeSuspicions(known: Suspicion, received: Suspicion): Suspicion {
    if (received.disproofs !== known.disproofs) {
        return received.disproofs > known.disproofs ? received : known;
    }
    const withdrawn = unite(known.withdrawn ?? [], received.withdrawn ?? [], MAX_WITHDRAWN);
    const counted = known.crashes.filter(crash => !withdrawn.includes(crash));
    const crashes = unite(counted, received.crashes.filter(crash => !withdrawn.includes(crash)), MAX_CRASHES);
    const isNews = withdrawn.length > (known.withdrawn ?? []).length
        || crashes.length > counted.length
        || received.rounds > known.rounds
        || received.probes > known.probes
        || (received.hasSucceeded && !known.hasSucceeded)
        || (received.isQuarantined && !known.isQuarantined);
    return isNews
        ? {
            ...known,
            crashes,
            ...withdrawn.length > 0 ? { withdrawn } : {},
            rounds: Math.max(known.rounds, received.rounds),
            hasSucceeded: known.hasSucceeded || received.hasSucceeded,
            isQuarantined: known.isQuarantined || received.isQuarantined,
            probes: Math.max(known.probes, received.probes),
        }
        : known;
}

/** Returns the known crashes and the received ones that are new, at most `count`, shape [crashes]. */
function unite(
    known: readonly UpstreamProcessKey[],
    received: readonly UpstreamProcessKey[],
    count: number,
): UpstreamProcessKey[] {
    const added = received.filter(crash => !known.includes(crash)).slice(0, Math.max(0, count - known.length));
    return [...known, ...added];
}
