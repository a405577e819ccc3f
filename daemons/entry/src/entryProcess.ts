import { HttpListener } from "@knapweedwood/api.http/httpListener";
import { DistributedConfiguration } from "@knapweedwood/config.distribution/distributedConfiguration";
import { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { createLinkEndpoint } from "@knapweedwood/daemons.common/createLinkEndpoint";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { InstanceAnnouncer } from "@knapweedwood/routing.instance-watch/instanceAnnouncer";
import { InstanceWatcher } from "@knapweedwood/routing.instance-watch/instanceWatcher";
import { randomUUID } from "node:crypto";
import { bootstrapConfiguration } from "./bootstrapConfiguration.js";
import { createEntryHttpHandler } from "./createEntryHttpHandler.js";
import { createSegmentStore } from "./createSegmentStore.js";
import type { EntryComponents } from "./entryComponents.js";
import type { EntryProcessOptions } from "./entryProcessOptions.js";
import { linkedSubset } from "./linkedSubset.js";
import { SharedRoles } from "./sharedRoles.js";
import { SideDirectory } from "./sideDirectory.js";
import { TeamMeter } from "./teamMeter.js";

/** Time for the load balancer to detect that the instance is leaving and to stop sending requests. */
const LEAVE_PAUSE_MS = 500;

/** The entry process. Sends callers' calls to sides, and runs the shared roles whose leases it holds. */
export class EntryProcess {
    private readonly components: EntryComponents;
    private readonly publisher: ConfigurationPublisher;
    private readonly directory: SideDirectory;
    private readonly teamMeter: TeamMeter;
    private readonly stopping = new AbortController();
    private roles: SharedRoles | undefined;
    private announcer: InstanceAnnouncer | undefined;
    private listener: HttpListener | undefined;

    constructor(opts: EntryProcessOptions) {
        const identity = identityOf(opts);
        const endpoint = createLinkEndpoint({ ...opts, identity, link: opts.settings.link });
        const watcher = new InstanceWatcher(opts);
        const configuration = new DistributedConfiguration({ ...opts, identity, endpoint });
        this.components = { ...opts, endpoint, watcher, configuration };
        this.publisher = new ConfigurationPublisher({ ...opts, createChangeId: randomUUID });
        this.directory = new SideDirectory({
            ...this.components,
            selectSubset: records => linkedSubset(records, { entryId: identity.instanceId, zone: identity.zone }),
        });
        this.teamMeter = new TeamMeter(this.components);
    }

    /**
     * Starts the entry and announces it. Returns the port of the HTTP API, and the address where the entry accepts
     * links, as `host:port`. Rejects if a port can't be opened.
     */
    async start(): Promise<{ httpPort: number; linkAddress: string; }> {
        const { settings, endpoint, watcher, configuration, logger } = this.components;
        const linkAddress = await endpoint.listen();
        await watcher.start();
        await configuration.start();
        const segmentStore = await createSegmentStore(this.components);
        this.roles = new SharedRoles(this.components, { segmentStore, address: linkAddress });
        this.roles.start();
        this.teamMeter.start();
        const http = createEntryHttpHandler(this.components, {
            segmentStore,
            directory: this.directory,
            publisher: this.publisher,
            roles: this.roles,
            teamMeter: this.teamMeter,
            isReady: () => this.isReady(),
        });
        this.listener = new HttpListener({
            handle: (request, response) => http.handle(request, response),
            tls: settings.http.tls,
        });
        const httpPort = await this.listener.listen(settings.http.host, settings.http.port);
        this.announcer = this.createAnnouncer(linkAddress);
        await this.announcer.start();
        void bootstrapConfiguration({ ...this.components, publisher: this.publisher, signal: this.stopping.signal });
        logger.info("entry-started", { httpPort, linkAddress });
        return { httpPort, linkAddress };
    }

    /**
     * Stops gracefully. Announces that the instance is leaving, waits for the calls in progress up to the shutdown
     * grace period, then hands over the shared roles.
     */
    async stop(): Promise<void> {
        const { settings, clock, logger, configuration, watcher, endpoint } = this.components;
        this.stopping.abort();
        await this.announcer?.announceLeaving();
        await sleep(clock, LEAVE_PAUSE_MS);
        await this.listener?.close(settings.shutdownGraceMs);
        await this.roles?.stop();
        await this.teamMeter.stop();
        await configuration.stop();
        await watcher.stop();
        await this.announcer?.stop();
        await endpoint.close();
        logger.info("entry-stopped");
    }

    private isReady(): boolean {
        return !this.stopping.signal.aborted && this.components.configuration.current() !== undefined;
    }

    private createAnnouncer(address: string): InstanceAnnouncer {
        const { settings, endpoint } = this.components;
        const { instanceId, region, zone } = endpoint.identity;
        return new InstanceAnnouncer({
            ...this.components,
            record: {
                instanceId,
                kind: "entry",
                region,
                zone,
                address,
                state: "live",
                service: undefined,
                hasDataFolder: settings.dataFolder !== undefined,
            },
        });
    }
}

function identityOf({ settings, clock }: EntryProcessOptions): PeerIdentity {
    return {
        instanceId: settings.instanceId as InstanceId,
        incarnation: Math.floor(clock.nowMs()) as Incarnation,
        kind: "entry",
        zone: settings.zone as ZoneName,
        region: settings.region as RegionName,
    };
}
