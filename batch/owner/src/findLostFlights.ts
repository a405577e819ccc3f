import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { FailedAttempt } from "./failedAttempt.js";
import type { ItemFlight } from "./itemFlight.js";

const PEER_LOST_AFTER_MS = 3000;
const MAX_FLIGHT_MS = 900_000;

/** Finds items whose gate has gone: its link is closed, it has started anew, or it has not answered for too long. */
export function findLostFlights(opts: {
    nowMs: number;
    flights: ItemFlight[];
    peers: PeerIdentity[];
}): { index: number; attempt: FailedAttempt; }[] {
    const { nowMs } = opts;
    const incarnations = newestIncarnations(opts.peers);
    return opts.flights.flatMap(flight => {
        const incarnation = incarnations.get(flight.peer);
        flight.peerLostSinceMs = incarnation === undefined ? flight.peerLostSinceMs ?? nowMs : undefined;
        const isReplaced = incarnation !== undefined && incarnation !== flight.incarnation;
        const isGone = flight.peerLostSinceMs !== undefined && nowMs - flight.peerLostSinceMs >= PEER_LOST_AFTER_MS;
        const isLate = nowMs - flight.sinceMs >= MAX_FLIGHT_MS;
        if (!isReplaced && !isGone && !isLate) {
            return [];
        }
        const attempt: FailedAttempt = {
            upstream: flight.peer,
            code: "upstream_lost",
            message: "The upstream was lost while it ran the item",
            cause: isLate ? "instance" : "upstream-lost",
            mayHaveRun: true,
        };
        return [{ index: flight.item.index, attempt }];
    });
}

/** A link of an earlier process may linger beside that of its successor. */
function newestIncarnations(peers: PeerIdentity[]): Map<InstanceId, Incarnation> {
    const newest = new Map<InstanceId, Incarnation>();
    peers
        .filter(peer => peer.incarnation > (newest.get(peer.instanceId) ?? Number.NEGATIVE_INFINITY))
        .forEach(peer => newest.set(peer.instanceId, peer.incarnation));
    return newest;
}
