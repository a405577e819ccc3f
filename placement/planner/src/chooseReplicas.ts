import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ObservedUpstream } from "./observedUpstream.js";

/**
 * Returns at most `count` live upstreams, spread evenly over zones; shape [replicas]. Within a zone it prefers
 * upstreams whose engine responds, then upstreams that were chosen before, and then orders by rendezvous rank.
 */
export function chooseReplicas(
    opts: {
        key: string;
        count: number;
        candidates: readonly ObservedUpstream[];
        previous: ReadonlySet<InstanceId>;
    },
): ObservedUpstream[] {
    const live = opts.candidates.filter(candidate => candidate.state === "live");
    const ranks = new Map(
        rendezvousRank(opts.key, live.map(candidate => candidate.instanceId)).map((
            instanceId,
            rank,
        ) => [instanceId, rank]),
    );
    const preference = (candidate: ObservedUpstream): number =>
        (candidate.engine === undefined ? 2 * live.length : 0)
        + (opts.previous.has(candidate.instanceId) ? 0 : live.length)
        + (ranks.get(candidate.instanceId) ?? 0);
    const byZone = new Map<string, ObservedUpstream[]>();
    [...live]
        .sort((left, right) => preference(left) - preference(right))
        .forEach(candidate => byZone.set(candidate.zone, [...byZone.get(candidate.zone) ?? [], candidate]));
    const rounds = [...byZone.entries()]
        .sort(([left], [right]) => left < right ? -1 : 1)
        .flatMap(([, members]) => members.map((candidate, round) => ({ candidate, round })))
        .sort((left, right) => left.round - right.round);
    return rounds.slice(0, opts.count).map(({ candidate }) => candidate);
}
