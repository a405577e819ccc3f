import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { LoadPeer } from "./loadPeer.js";

/** Time for which a ranking is used, in milliseconds. Processes come and go far less often than reports. */
const VALID_MS = 500;

type Candidate = Pick<LoadPeer, "instanceName" | "zone" | "isPreferredRelay">;

/** Ranks the processes of each zone that may relay load reports. All processes get about the same ranking. */
export class RelayRanking {
    private readonly candidates: () => Candidate[];
    private ranked = new Map<ZoneName, InstanceName[]>();
    private rankedAtMs = -Infinity;

    /** @param candidates returns all processes of the fleet, shape [processes] */
    constructor(candidates: () => Candidate[]) {
        this.candidates = candidates;
    }

    /** Returns the processes of each zone, the preferred relays first. */
    byZone(nowMs: number): ReadonlyMap<ZoneName, InstanceName[]> {
        if (nowMs >= this.rankedAtMs + VALID_MS) {
            this.rankedAtMs = nowMs;
            this.ranked = this.rank();
        }
        return this.ranked;
    }

    private rank(): Map<ZoneName, InstanceName[]> {
        const candidates = this.candidates();
        const zones = [...new Set(candidates.map(candidate => candidate.zone))];
        return new Map(zones.map(zone => {
            const inZone = candidates.filter(candidate => candidate.zone === zone);
            const namesOf = (isPreferred: boolean) =>
                inZone
                    .filter(candidate => candidate.isPreferredRelay === isPreferred)
                    .map(candidate => candidate.instanceName);
            return [zone, [...rendezvousRank(zone, namesOf(true)), ...rendezvousRank(zone, namesOf(false))]];
        }));
    }
}
