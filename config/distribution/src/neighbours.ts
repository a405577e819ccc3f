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

const NOWHERE: DistributionPosition = { isWatcher: false, parents: [], siblings: [] };
const PARENTS_ADDED_PER_TRY = 2;
const MAX_PARENTS_TRIED = 16;
const TRY_MORE_PERIOD_MS = 300;
/** How old the instance list may be for a process whose preferred parent answers. */
const SETTLED_REFRESH_PERIOD_MS = 20_000;

/** The links to the processes beside and above this one, kept in step with the instance list. */
export class Neighbours {
    private readonly identity: PeerIdentity;
    private readonly endpoint: LinkEndpoint;
    private readonly instanceList: InstanceList;
    private readonly logger: Logger;
    private readonly opened = new Map<string, Link>();
    private readonly clock: Clock;
    private refreshedAtMs = 0;
    private triedMoreAtMs = 0;
    private parentsTried = PARENTS_ADDED_PER_TRY;
    private currentPlace: DistributionPosition = NOWHERE;

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

    get place(): DistributionPosition {
        return this.currentPlace;
    }

    /** Reads the instance list: often while this process watches, or finds no parent, and seldom otherwise. */
    async refreshWhereDue(): Promise<void> {
        const nowMs = this.clock.nowMs();
        const isFresh = this.isSettled() && nowMs - this.refreshedAtMs < SETTLED_REFRESH_PERIOD_MS;
        if (!isFresh) {
            this.refreshedAtMs = nowMs;
            await this.refresh();
        }
    }

    /** Reads the instance list and takes the place that follows from it; keeps the old place where it is away. */
    private async refresh(): Promise<void> {
        try {
            const instances = await this.instanceList.list();
            const inRegion = instances.filter(instance => instance.region === this.identity.region);
            this.currentPlace = planDistribution({ self: this.ownRecord(), instances: inRegion });
            this.closeVanished(instances);
        }
        catch (thrown) {
            this.logger.debug("configuration.instance-list-away", { error: String(thrown) });
            if (this.currentPlace === NOWHERE) {
                this.currentPlace = planDistribution({ self: this.ownRecord(), instances: [] });
            }
        }
    }

    /**
     * The link to the first parent that answers. While none does, links to more of them with each call, for the
     * instance list may show processes that are gone.
     */
    parents(): Link[] {
        const links: Link[] = [];
        for (const parent of this.currentPlace.parents.slice(0, this.parentsTried)) {
            const link = this.connect(parent);
            if (link.state === "open") {
                this.parentsTried = Math.max(1, links.length + 1);
                return [link];
            }
            links.push(link);
        }
        this.tryMoreParents();
        return this.openEntries();
    }

    siblings(): Link[] {
        return this.currentPlace.siblings.map(sibling => this.connect(sibling));
    }

    isParent(peer: PeerIdentity): boolean {
        return this.currentPlace.parents.some(parent => parent.instanceId === peer.instanceId);
    }

    linkTo(peer: PeerIdentity): Link | undefined {
        return this.linkToId(peer.instanceId);
    }

    linkToId(instanceId: InstanceId): Link | undefined {
        const links = this.endpoint.links().filter(link => link.peer?.instanceId === instanceId);
        return links.find(link => link.state === "open") ?? links.at(0);
    }

    private tryMoreParents(): void {
        const nowMs = this.clock.nowMs();
        if (nowMs - this.triedMoreAtMs >= TRY_MORE_PERIOD_MS) {
            this.triedMoreAtMs = nowMs;
            this.parentsTried = Math.min(MAX_PARENTS_TRIED, this.parentsTried + PARENTS_ADDED_PER_TRY);
        }
    }

    private isSettled(): boolean {
        const [parent] = this.currentPlace.parents;
        return parent !== undefined && this.opened.get(parent.address)?.state === "open";
    }

    /** Where no parent is known, such as when the instance list is away, any entry that has linked to this process. */
    private openEntries(): Link[] {
        return this.currentPlace.isWatcher
            ? []
            : this.endpoint.links().filter(link => link.state === "open" && link.peer?.kind === "entry").slice(0, 2);
    }

    private connect(instance: InstanceRecord): Link {
        const link = this.endpoint.connect(instance.address);
        this.opened.set(instance.address, link);
        return link;
    }

    private closeVanished(instances: InstanceRecord[]): void {
        const listed = new Set(instances.map(instance => instance.address));
        this.opened.forEach((link, address) => {
            if (!listed.has(address) && link.state !== "open") {
                link.close();
                this.opened.delete(address);
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
