import type { FleetSnapshot } from "@knapweedwood/fleet.sync/fleetSnapshot";
import { snapshotRevisionsOf } from "@knapweedwood/fleet.sync/snapshotRevisionsOf";
import type { OperatorsFollower } from "./operatorsFollower.js";
import type { PeerFollower } from "./peerFollower.js";
import type { UpstreamFollower } from "./upstreamFollower.js";

interface FleetKnowledgeOptions {
    operators: OperatorsFollower;
    upstreams: UpstreamFollower;
    peers: PeerFollower;
}

/** What a process knows of the fleet, as snapshots that other processes can use. */
export class FleetKnowledge {
    private readonly opts: FleetKnowledgeOptions;

    constructor(opts: FleetKnowledgeOptions) {
        this.opts = opts;
    }

    /** Whether the configuration and the upstreams are known, from the key-value service or from another process. */
    get isLoaded(): boolean {
        const { operators, upstreams } = this.opts;
        return operators.configuration.current !== undefined && upstreams.mirror.isInitialized;
    }

    /** Whether the key-value service has answered the listings of the configuration and of the upstreams. */
    get isListed(): boolean {
        return this.opts.operators.mirror.isListed && this.opts.upstreams.mirror.isListed;
    }

    /** Returns what this process knows; undefined before it knows a configuration. */
    snapshot(): FleetSnapshot | undefined {
        const { operators, upstreams, peers } = this.opts;
        return operators.configuration.current === undefined
            ? undefined
            : {
                operators: operators.entries(),
                upstreams: upstreams.mirror.entries(),
                fleet: peers.mirror.entries(),
                revisions: {
                    operators: operators.mirror.knownRevision,
                    upstreams: upstreams.mirror.knownRevision,
                    fleet: peers.mirror.knownRevision,
                },
            };
    }

    /**
     * Uses what another process knows: a newer configuration in any case, the rest where this process has not reached the
     * key-value service yet.
     *
     * @param source host of the other process
     * @returns whether anything was newer
     */
    seed(source: string, snapshot: FleetSnapshot): boolean {
        const { operators, upstreams, peers } = this.opts;
        const revisions = snapshotRevisionsOf(snapshot);
        return [
            operators.adoptFrom({ kind: "peer", name: source }, snapshot.operators),
            operators.mirror.seed(snapshot.operators, revisions.operators),
            upstreams.mirror.seed(snapshot.upstreams, revisions.upstreams),
            peers.mirror.seed(snapshot.fleet, revisions.fleet),
        ].includes(true);
    }
}
