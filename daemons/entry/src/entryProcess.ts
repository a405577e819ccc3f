import { CallersApi } from "@knapweedwood/api.callers/callersApi";
import { HttpListener } from "@knapweedwood/api.http/httpListener";
import { ensureBootstrapConfiguration } from "@knapweedwood/api.operators/ensureBootstrapConfiguration";
import { OperatorsApi } from "@knapweedwood/api.operators/operatorsApi";
import { UsageMeter } from "@knapweedwood/api.operators/usageMeter";
import { ClaimService } from "@knapweedwood/batch.claims/claimService";
import { cancelJobNotification } from "@knapweedwood/batch.items/cancelJobNotification";
import { KeyValueBatchService } from "@knapweedwood/batch.jobs/keyValueBatchService";
import { BatchRole } from "@knapweedwood/batch.owner/batchRole";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import { DistributedConfiguration } from "@knapweedwood/config.distribution/distributedConfiguration";
import { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { createLinkEndpoint } from "@knapweedwood/daemons.common/createLinkEndpoint";
import { cacheChangeNotification } from "@knapweedwood/daemons.inference/cacheChangeNotification";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { PlannerRole } from "@knapweedwood/placement.planner/plannerRole";
import type { InstanceRecord } from "@knapweedwood/platform.instance-list/instanceRecord";
import { InstanceAnnouncer } from "@knapweedwood/platform.instance-watch/instanceAnnouncer";
import { InstanceWatcher } from "@knapweedwood/platform.instance-watch/instanceWatcher";
import { AffinityChooser } from "@knapweedwood/routing.choice/affinityChooser";
import { DemandShares } from "@knapweedwood/routing.limits/demandShares";
import { SharedLimiter } from "@knapweedwood/routing.limits/sharedLimiter";
import { UsageExchange } from "@knapweedwood/routing.limits/usageExchange";
import { BudgetedRetryPolicy } from "@knapweedwood/routing.retries/budgetedRetryPolicy";
import { RetryBudget } from "@knapweedwood/routing.retries/retryBudget";
import { randomUUID } from "node:crypto";
import { BodyStreams } from "./bodyStreams.js";
import { ClaimedCalls } from "./claimedCalls.js";
import { configuredServices } from "./configuredServices.js";
import { createSegmentStore } from "./createSegmentStore.js";
import { Dispatcher } from "./dispatcher.js";
import { EntryHttp } from "./entryHttp.js";
import type { EntryProcessOptions } from "./entryProcessOptions.js";
import { LimitedAdmission } from "./limitedAdmission.js";
import { LinkedFleet } from "./linkedFleet.js";
import { LINKED_SUBSET_SIZE, linkedSubset } from "./linkedSubset.js";
import { ServiceChoosers } from "./serviceChoosers.js";
import { UpstreamDirectory } from "./upstreamDirectory.js";

const BOOTSTRAP_RETRY_MS = 1000;
const MAX_ATTEMPTS = 4;
/** Retries that may be used at once, such as when a side with many calls in progress is lost. */
const MAX_SAVED_RETRIES = 64;
const DEMAND_REPORT_INTERVAL_MS = 500;
/** The balancer stops sending once it sees the instance leaving. */
const LEAVE_PAUSE_MS = 500;

/** The process between callers and sides; by lease it also carries shared roles. */
export class EntryProcess {
    private readonly opts: EntryProcessOptions;
    private readonly endpoint: LinkEndpoint;
    private readonly watcher: InstanceWatcher;
    private readonly configuration: DistributedConfiguration;
    private readonly publisher: ConfigurationPublisher;
    private readonly directory: UpstreamDirectory;
    private readonly dispatcher: Dispatcher;
    private readonly shares: DemandShares;
    private readonly usageExchange: UsageExchange;
    private readonly usage: UsageMeter;
    private readonly stopping = new AbortController();
    private batchRole: BatchRole | undefined;
    private claims: ClaimService | undefined;
    private readonly planner: PlannerRole;
    private announcer: InstanceAnnouncer | undefined;
    private listener: HttpListener | undefined;

    constructor(opts: EntryProcessOptions) {
        this.opts = opts;
        const { settings, clock, random, logger, metrics, keyValue, instanceList, tracer } = opts;
        const identity = {
            instanceId: settings.instanceId as InstanceId,
            incarnation: Math.floor(clock.nowMs()) as Incarnation,
            kind: "entry" as const,
            zone: settings.zone as ZoneName,
            region: settings.region as RegionName,
        };
        this.endpoint = createLinkEndpoint({ identity, link: settings.link, clock, random, logger, metrics });
        this.watcher = new InstanceWatcher({ instanceList, clock, random, logger });
        this.configuration = new DistributedConfiguration({
            identity,
            clock,
            random,
            keyValue,
            instanceList,
            endpoint: this.endpoint,
            logger,
            metrics,
        });
        this.publisher = new ConfigurationPublisher({ keyValue, clock, createChangeId: randomUUID });
        this.directory = new UpstreamDirectory({
            endpoint: this.endpoint,
            clock,
            watcher: this.watcher,
            selectSubset: records => linkedSubset(records, { entryId: identity.instanceId, zone: identity.zone }),
        });
        const retryBudget = new RetryBudget({ maxSaved: MAX_SAVED_RETRIES });
        const choosers = new ServiceChoosers({
            create: () =>
                new AffinityChooser({
                    entryId: identity.instanceId,
                    zone: identity.zone,
                    random,
                    subsetSize: LINKED_SUBSET_SIZE,
                }),
        });
        this.endpoint.receive(cacheChangeNotification, change => choosers.of(change.service).onCacheChange?.(change));
        this.dispatcher = new Dispatcher({
            directory: this.directory,
            choosers,
            retryPolicy: new BudgetedRetryPolicy({ budget: retryBudget, random, maxAttempts: MAX_ATTEMPTS }),
            retryBudget,
            bodyStreams: new BodyStreams({ endpoint: this.endpoint }),
            clock,
            metrics,
            tracer,
        });
        this.shares = new DemandShares({
            entryId: identity.instanceId,
            entryCount: () => this.liveEntries().length,
            reportIntervalMs: DEMAND_REPORT_INTERVAL_MS,
        });
        this.usageExchange = new UsageExchange({
            endpoint: this.endpoint,
            shares: this.shares,
            clock,
            reportIntervalMs: DEMAND_REPORT_INTERVAL_MS,
            entries: () => this.liveEntries(),
        });
        this.planner = new PlannerRole({
            keyValue,
            clock,
            configuration: this.configuration,
            instances: () => this.watcher.current(),
            demands: () => [],
            endpoint: this.endpoint,
            logger,
            maxConcurrentLoads: settings.placement.maxConcurrentLoads,
        });
        this.usage = new UsageMeter({
            keyValue,
            clock,
            logger,
            region: identity.region,
            processName: `${identity.instanceId}-${identity.incarnation}`,
        });
    }

    /** @returns the port where callers are served, and the address of the links */
    async start(): Promise<{ httpPort: number; linkAddress: string; }> {
        const { settings, logger } = this.opts;
        const linkAddress = await this.endpoint.listen();
        await this.watcher.start();
        await this.configuration.start();
        const segmentStore = await createSegmentStore({
            ...this.opts,
            endpoint: this.endpoint,
            watcher: this.watcher,
        });
        this.batchRole = this.createBatchRole(segmentStore, linkAddress);
        this.batchRole.start();
        this.claims = this.createClaims(segmentStore, linkAddress);
        this.claims.start();
        this.usageExchange.start();
        this.planner.start();
        this.usage.start();
        this.listener = this.createListener(segmentStore, this.claims);
        const httpPort = await this.listener.listen(settings.http.host, settings.http.port);
        this.announcer = this.createAnnouncer(linkAddress);
        await this.announcer.start();
        void this.bootstrap();
        logger.info("entry.started", { httpPort, linkAddress });
        return { httpPort, linkAddress };
    }

    /** Stops in order: leaving is announced, calls in progress end, shared roles are handed over. */
    async stop(): Promise<void> {
        const { settings, clock, logger } = this.opts;
        this.stopping.abort();
        await this.announcer?.leave();
        await sleep(clock, LEAVE_PAUSE_MS);
        await this.listener?.close(settings.shutdownGraceMs);
        await this.batchRole?.stop();
        await this.claims?.stop();
        await this.planner.stop();
        this.usageExchange.stop();
        await this.usage.stop().catch((error: unknown) => logger.warn("usage.not-written", { error: String(error) }));
        await this.configuration.stop();
        await this.watcher.stop();
        await this.announcer?.stop();
        await this.endpoint.close();
        logger.info("entry.stopped");
    }

    private liveEntries(): InstanceRecord[] {
        return this.watcher.current().filter(record => record.kind === "entry" && record.state === "live");
    }

    private createClaims(segmentStore: SegmentStore, address: string): ClaimService {
        const { settings, clock, random, logger, metrics, keyValue, instanceList } = this.opts;
        return new ClaimService({
            instanceId: this.endpoint.identity.instanceId,
            address: () => address,
            endpoint: this.endpoint,
            keyValue,
            instanceList,
            segmentStore,
            clock,
            random,
            logger,
            metrics,
            shardCount: settings.batch.partitionCount,
        });
    }

    private isReady(): boolean {
        return !this.stopping.signal.aborted && this.configuration.current() !== undefined;
    }

    private createListener(segmentStore: SegmentStore, claims: ClaimService): HttpListener {
        const { settings, clock, random, logger, metrics, tracer, keyValue } = this.opts;
        const batches = new KeyValueBatchService({
            keyValue,
            segmentStore,
            clock,
            random,
            onCancelled: jobId => this.endpoint.links().forEach(link => link.notify(cancelJobNotification, { jobId })),
        });
        const callersApi = new CallersApi({
            configuration: this.configuration,
            backend: this.dispatcher,
            batches,
            admission: new LimitedAdmission({
                limiter: new SharedLimiter({ shares: this.shares }),
                usage: this.usage,
                clock,
                metrics,
            }),
            keyedCalls: new ClaimedCalls({ claims, logger }),
            clock,
            logger,
            metrics,
            tracer,
            maxBodyBytes: settings.http.maxBodyBytes,
            maxFileBytes: settings.http.maxFileBytes,
        });
        const http = new EntryHttp({
            callersApi,
            operatorsApi: this.createOperatorsApi(batches),
            configuration: this.configuration,
            isReady: () => this.isReady(),
        });
        return new HttpListener({
            handle: (request, response) => http.handle(request, response),
            tls: settings.http.tls,
        });
    }

    private createOperatorsApi(batches: KeyValueBatchService): OperatorsApi {
        return new OperatorsApi({
            publisher: this.publisher,
            configuration: this.configuration,
            jobs: batches,
            fleet: new LinkedFleet({ watcher: this.watcher, endpoint: this.endpoint, directory: this.directory }),
            usage: this.usage,
            clock: this.opts.clock,
            logger: this.opts.logger,
        });
    }

    private createBatchRole(segmentStore: SegmentStore, address: string): BatchRole {
        const { settings, clock, random, logger, metrics, keyValue, instanceList } = this.opts;
        return new BatchRole({
            instanceId: settings.instanceId as InstanceId,
            address: () => address,
            clock,
            random,
            keyValue,
            instanceList,
            endpoint: this.endpoint,
            segmentStore,
            logger,
            metrics,
            partitionCount: settings.batch.partitionCount,
            services: configuredServices(this.configuration),
            teamWeight: teamId => this.configuration.current()?.team(teamId)?.weight ?? 1,
        });
    }

    private createAnnouncer(address: string): InstanceAnnouncer {
        const { settings, instanceList, clock, logger } = this.opts;
        return new InstanceAnnouncer({
            instanceList,
            clock,
            logger,
            record: {
                instanceId: settings.instanceId as InstanceId,
                kind: "entry",
                region: settings.region as RegionName,
                zone: settings.zone as ZoneName,
                address,
                state: "live",
                service: undefined,
                hasDataFolder: settings.dataFolder !== undefined,
            },
        });
    }

    /** Publishes the first platform operator's key where there is no configuration yet. */
    private async bootstrap(): Promise<void> {
        const { settings, clock, logger } = this.opts;
        const platformKeyHash = settings.bootstrapKeyHash;
        if (platformKeyHash === undefined) {
            return;
        }
        while (!this.stopping.signal.aborted) {
            try {
                await ensureBootstrapConfiguration({ publisher: this.publisher, platformKeyHash });
                return;
            }
            catch (error) {
                logger.warn("bootstrap.failed", { error: String(error) });
                await sleep(clock, BOOTSTRAP_RETRY_MS, this.stopping.signal);
            }
        }
    }
}
