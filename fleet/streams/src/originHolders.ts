import { HashRing } from "@knapweedwood/core.hashing/hashRing";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { StreamPeer } from "./streamPeer.js";

/** Number of processes that keep an origin in addition to the gateway of the stream. */
const HOLDERS = 2;
/** Maximum number of processes that are asked for an origin. */
const MAX_CANDIDATES = 16;

/** Number of live and of silent runners that are asked before the other processes. */
const RUNNERS_ASKED_FIRST = 2;

/**
 * Chooses the processes that keep the origin of a stream, and those to ask for it. Both follow from the request's id
 * alone, so that a gateway finds an origin without knowing where the stream began. One that keeps it is a runner, which
 * keeps running when all gateways end at once.
 */
export class OriginHolders {
    private readonly peers: ReadonlyMap<InstanceName, StreamPeer>;
    private readonly rings: HashRing<InstanceName>[];
    private readonly runnerRings: HashRing<InstanceName>[];

    /** @param peers the other processes of the fleet, shape [processes] */
    constructor(peers: readonly StreamPeer[]) {
        this.peers = new Map(peers.map(peer => [peer.instanceName, peer]));
        this.rings = ringsOf(peers);
        this.runnerRings = ringsOf(peers.filter(peer => peer.isRunner));
    }

    /** Returns the processes that keep the origin, in different zones where possible, shape [processes]. */
    holdersOf(requestId: RequestId): StreamPeer[] {
        const [first, ...others] = this.candidatesOf(requestId);
        const runners = others.filter(peer => first?.isRunner === true || peer.isRunner);
        const eligible = runners.length > 0 ? runners : others;
        const inOtherZone = eligible.find(peer => peer.zone !== first?.zone);
        return [first, inOtherZone ?? eligible[0]].filter(peer => peer !== undefined).slice(0, HOLDERS);
    }

    /** Returns the processes that may know the origin, the most likely first, shape [processes]. */
    candidatesOf(requestId: RequestId): StreamPeer[] {
        const [first, ...others] = this.rings.flatMap(ring => ring.membersOf(requestId, MAX_CANDIDATES));
        const [live, silent] = this.runnerRings.map(ring => ring.membersOf(requestId, RUNNERS_ASKED_FIRST));
        const runners = [live?.[0], silent?.[0], ...live ?? [], ...silent ?? []];
        return [...new Set([first, ...runners, ...others])]
            .flatMap(name => name === undefined ? [] : this.peers.get(name) ?? [])
            .slice(0, MAX_CANDIDATES);
    }
}

/** Returns a ring of the processes that were heard of a short time ago and one of the others. */
function ringsOf(peers: readonly StreamPeer[]): HashRing<InstanceName>[] {
    return [true, false].map(isLive =>
        new HashRing(peers.filter(peer => peer.isLive === isLive).map(peer => peer.instanceName))
    );
}
