import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { Link } from "@knapweedwood/links.calls/link";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import type { DistributionPosition } from "./distributionPosition.js";
import { planDistribution } from "./planDistribution.js";

const NO_POSITION: DistributionPosition = { isWatcher: false, parents: [], siblings: [] };
const PARENTS_ADDED_PER_TRY = 2;
const MAX_PARENTS_TO_TRY = 16;
const ADD_PARENTS_PERIOD_MS = 300;
/** Maximum age of the instance list while the link to the preferred parent is open. */
const CONNECTED_REFRESH_PERIOD_MS = 20_000;

/** The links to the parents and siblings of this process. They follow the instance list. */
export class Neighbours {
    private readonly identity: PeerIdentity;
    private readonly endpoint: LinkEndpoint;
    private readonly instanceList: InstanceList;
    private readonly logger: Logger;
    private readonly linksByAddress = new Map<string, Link>();
    private readonly clock: Clock;
    private refreshedAtMs = 0;
    private parentsAddedAtMs = 0;
    private parentsToTry = PARENTS_ADDED_PER_TRY;
    private currentPosition: DistributionPosition = NO_POSITION;

    constructor(
        opts: {
            identity: PeerIdentity;
            endpoint: LinkEndpoint;
            instanceList: InstanceList;
            clock: Clock;
            logger: Logger;
        },
    ) {
        this.clock = opts.clock;
        this.identity = opts.identity;
        this.endpoint = opts.endpoint;
        this.instanceList = opts.instanceList;
        this.logger = opts.logger;
    }

    get position(): DistributionPosition {
        return this.currentPosition;
    }

    /**
     * Reads the instance list if it is due. It is due at every call while the link to the preferred parent is not open,
     * as on a watcher, and rarely otherwise.
     */
    async refreshIfDue(): Promise<void> {
        const nowMs = this.clock.nowMs();
        const isFresh = this.isConnectedToParent() && nowMs - this.refreshedAtMs < CONNECTED_REFRESH_PERIOD_MS;
        if (!isFresh) {
            this.refreshedAtMs = nowMs;
            await this.refresh();
        }
    }

    /** Reads the instance list and updates the position. Keeps the old position if the list is unavailable. */
    private async refresh(): Promise<void> {
        try {
            const instances = await this.instanceList.list();
            const inRegion = instances.filter(instance => instance.region === this.identity.region);
            this.currentPosition = planDistribution({ self: this.ownRecord(), instances: inRegion });
            this.closeUnlisted(instances);
        }
        catch (thrown) {
            this.logger.debug("configuration-instance-list-unavailable", { error: String(thrown) });
            if (this.currentPosition === NO_POSITION) {
                this.currentPosition = planDistribution({ self: this.ownRecord(), instances: [] });
            }
        }
    }

    /**
     * Returns the open link to the most preferred parent. While there is none, returns links to entries and gradually
     * opens links to more parents, because the instance list may still show processes that have stopped.
     */
    parents(): Link[] {
        const links: Link[] = [];
        for (const parent of this.currentPosition.parents.slice(0, this.parentsToTry)) {
            const link = this.connect(parent);
            if (link.state === "open") {
                this.parentsToTry = Math.max(1, links.length + 1);
                return [link];
            }
            links.push(link);
        }
        this.tryMoreParents();
        return this.openEntryLinks();
    }

    /** Returns the links to the siblings, and opens those that are missing. */
    siblings(): Link[] {
        return this.currentPosition.siblings.map(sibling => this.connect(sibling));
    }

    isParent(peer: PeerIdentity): boolean {
        return this.currentPosition.parents.some(parent => parent.instanceId === peer.instanceId);
    }

    /** Returns the link to `peer`, an open one if there is one. */
    linkTo(peer: PeerIdentity): Link | undefined {
        return this.linkToId(peer.instanceId);
    }

    linkToId(instanceId: InstanceId): Link | undefined {
        const links = this.endpoint.links().filter(link => link.peer?.instanceId === instanceId);
        return links.find(link => link.state === "open") ?? links.at(0);
    }

    private tryMoreParents(): void {
        const nowMs = this.clock.nowMs();
        if (nowMs - this.parentsAddedAtMs >= ADD_PARENTS_PERIOD_MS) {
            this.parentsAddedAtMs = nowMs;
            this.parentsToTry = Math.min(MAX_PARENTS_TO_TRY, this.parentsToTry + PARENTS_ADDED_PER_TRY);
        }
    }

    private isConnectedToParent(): boolean {
        const [parent] = this.currentPosition.parents;
        return parent !== undefined && this.linksByAddress.get(parent.address)?.state === "open";
    }

    /**
     * Returns up to two open links to entries, none on a watcher. They replace the parents while no link to a parent is
     * open, for example because the instance list is unavailable and no parent is known.
     */
    private openEntryLinks(): Link[] {
        return this.currentPosition.isWatcher
            ? []
            : this.endpoint.links().filter(link => link.state === "open" && link.peer?.kind === "entry").slice(0, 2);
    }

    private connect(instance: InstanceRecord): Link {
        const link = this.endpoint.connect(instance.address);
        this.linksByAddress.set(instance.address, link);
        return link;
    }

    private closeUnlisted(instances: InstanceRecord[]): void {
        const listed = new Set(instances.map(instance => instance.address));
        this.linksByAddress.forEach((link, address) => {
            if (!listed.has(address) && link.state !== "open") {
                link.close();
                this.linksByAddress.delete(address);
            }
        });
    }

    private ownRecord(): InstanceRecord {
        return {
            instanceId: this.identity.instanceId,
            kind: this.identity.kind,
            region: this.identity.region,
            zone: this.identity.zone,
            address: "",
            state: "live",
            service: undefined,
            hasDataFolder: false,
        };
    }
}
