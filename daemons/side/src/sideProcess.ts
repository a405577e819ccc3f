import { createAdmissionPolicy } from "@knapweedwood/admission.gate/createAdmissionPolicy";
import { Gate } from "@knapweedwood/admission.gate/gate";
import { cancelJobNotification } from "@knapweedwood/batch.items/cancelJobNotification";
import { LinkBatchSource } from "@knapweedwood/batch.source/linkBatchSource";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import { DistributedConfiguration } from "@knapweedwood/config.distribution/distributedConfiguration";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { createLinkEndpoint } from "@knapweedwood/daemons.common/createLinkEndpoint";
import type { SideStatus } from "@knapweedwood/daemons.inference/sideStatus";
import { HttpModelEngine } from "@knapweedwood/engines.model-engine/httpModelEngine";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { ReconcilerTask } from "@knapweedwood/placement.orders/reconcilerTask";
import { InstanceAnnouncer } from "@knapweedwood/routing.instance-watch/instanceAnnouncer";
import { InstanceWatcher } from "@knapweedwood/routing.instance-watch/instanceWatcher";
import { CacheChangeReporter } from "./cacheChangeReporter.js";
import { CallHandlers } from "./callHandlers.js";
import { PlainGate } from "./plainGate.js";
import { PlainUpstream } from "./plainUpstream.js";
import type { SideProcessOptions } from "./sideProcessOptions.js";
import { StatusReporter } from "./statusReporter.js";
import { UpstreamMonitor } from "./upstreamMonitor.js";

const DRAIN_POLL_INTERVAL_MS = 20;
/** Entries stop sending calls when they receive the status. The delay covers calls that were sent before. */
const LEAVE_PAUSE_MS = 200;

/** The side process. Runs next to one upstream. All calls to the upstream pass through it. */
export class SideProcess {
    private readonly opts: SideProcessOptions;
    private readonly service: ServiceName;
    private readonly endpoint: LinkEndpoint;
    private readonly watcher: InstanceWatcher;
    private readonly configuration: DistributedConfiguration;
    private readonly engine: HttpModelEngine | undefined;
    private readonly plainUpstream: PlainUpstream | undefined;
    private readonly plainGate: PlainGate | undefined;
    private readonly gate: Gate | undefined;
    private readonly reconciler: ReconcilerTask | undefined;
    private readonly upstreamMonitor: UpstreamMonitor;
    private readonly callHandlers: CallHandlers;
    private readonly statusReporter: StatusReporter;
    private readonly cacheChangeReporter: CacheChangeReporter | undefined;
    private announcer: InstanceAnnouncer | undefined;
    private isLeaving = false;

    constructor(opts: SideProcessOptions) {
        this.opts = opts;
        const { settings, clock, random, logger, metrics, instanceList, tracer } = opts;
        this.service = settings.service as ServiceName;
        const identity = identityOf(opts);
        this.endpoint = createLinkEndpoint({ identity, link: settings.link, clock, random, logger, metrics });
        this.watcher = new InstanceWatcher({ instanceList, clock, random, logger });
        this.configuration = new DistributedConfiguration({
            identity,
            clock,
            random,
            keyValue: undefined,
            instanceList,
            endpoint: this.endpoint,
            logger,
            metrics,
        });
        const isEngine = settings.upstream.kind === "model-engine";
        this.engine = isEngine ? new HttpModelEngine({ baseUrl: settings.upstream.url }) : undefined;
        this.plainUpstream = isEngine ? undefined : new PlainUpstream({ url: settings.upstream.url });
        this.gate = this.engine === undefined ? undefined : this.createGate(this.engine);
        this.reconciler = this.engine === undefined
            ? undefined
            : new ReconcilerTask({ engine: this.engine, clock, endpoint: this.endpoint });
        this.plainGate = this.plainUpstream === undefined ? undefined : this.createPlainGate(this.plainUpstream);
        this.upstreamMonitor = new UpstreamMonitor({ engine: this.engine, plainUpstream: this.plainUpstream, clock });
        this.callHandlers = new CallHandlers({
            endpoint: this.endpoint,
            tracer,
            service: settings.service,
            engine: this.engine,
            gate: this.gate,
            plainGate: this.plainGate,
            isLeaving: () => this.isLeaving,
        });
        this.statusReporter = new StatusReporter({ endpoint: this.endpoint, clock, status: () => this.status() });
        this.cacheChangeReporter = this.engine === undefined ? undefined : new CacheChangeReporter({
            endpoint: this.endpoint,
            clock,
            engine: this.engine,
            service: this.service,
        });
        this.endpoint.handleNotification(cancelJobNotification, ({ jobId }) => this.cancelJob(jobId));
        this.configuration.subscribe(view => this.applyService(view.service(this.service)));
    }

    /**
     * Starts the side and announces it. Returns the address where the side accepts links, as `host:port`. Rejects if
     * the port can't be opened.
     */
    async start(): Promise<string> {
        const address = await this.endpoint.listen();
        await this.watcher.start();
        await this.upstreamMonitor.start();
        await this.configuration.start();
        this.gate?.start();
        this.plainGate?.start();
        this.reconciler?.start();
        this.statusReporter.start();
        this.cacheChangeReporter?.start();
        this.announcer = this.createAnnouncer(address);
        await this.announcer.start();
        this.opts.logger.info("side-started", { address, service: this.service });
        return address;
    }

    /**
     * Stops gracefully. Rejects new work, returns batch items, waits for the calls in progress up to the shutdown
     * grace period, then closes the links.
     */
    async stop(): Promise<void> {
        const { clock, logger, settings } = this.opts;
        this.isLeaving = true;
        this.statusReporter.send();
        await this.announcer?.announceLeaving();
        await sleep(clock, LEAVE_PAUSE_MS);
        await this.gate?.leave();
        await this.plainGate?.stop();
        await this.reconciler?.stop();
        await this.waitForRunningCalls(settings.shutdownGraceMs);
        await this.announcer?.stop();
        await this.statusReporter.stop();
        await this.cacheChangeReporter?.stop();
        await this.configuration.stop();
        await this.watcher.stop();
        await this.upstreamMonitor.stop();
        await this.gate?.close();
        await this.endpoint.close();
        await this.plainUpstream?.close();
        logger.info("side-stopped");
    }

    /**
     * Stops at once, like a crash. Cuts the links, and does not return batch items or withdraw the record from the
     * instance list. For tests.
     */
    async crash(): Promise<void> {
        await this.announcer?.stopWithoutWithdrawing();
        await this.statusReporter.stop();
        await this.cacheChangeReporter?.stop();
        await this.endpoint.close(0);
        await this.configuration.stop();
        await this.watcher.stop();
        await this.upstreamMonitor.stop();
        await this.gate?.close();
        await this.plainGate?.stop();
        await this.reconciler?.stop();
        await this.plainUpstream?.close();
    }

    private async waitForRunningCalls(graceMs: number): Promise<void> {
        const { clock } = this.opts;
        const endMs = clock.nowMs() + graceMs;
        while (this.callHandlers.runningCallCount > 0 && clock.nowMs() < endMs) {
            await sleep(clock, DRAIN_POLL_INTERVAL_MS);
        }
    }

    private createGate(engine: HttpModelEngine): Gate {
        const { clock, logger, metrics, settings } = this.opts;
        return new Gate({
            engine,
            policy: createAdmissionPolicy(settings.admissionPolicy),
            clock,
            logger,
            metrics,
            batchSource: this.createBatchSource(),
        });
    }

    private createPlainGate(upstream: PlainUpstream): PlainGate {
        const { clock, logger } = this.opts;
        return new PlainGate({ upstream, batchSource: this.createBatchSource(), clock, logger });
    }

    private createBatchSource(): LinkBatchSource {
        const { clock, random } = this.opts;
        return new LinkBatchSource({
            endpoint: this.endpoint,
            entries: () =>
                this.watcher.current()
                    .filter(record => record.kind === "entry" && record.state === "live")
                    .map(record => record.address),
            service: this.service,
            clock,
            random,
        });
    }

    private cancelJob(jobId: JobId): void {
        this.gate?.cancelJob(jobId);
        this.plainGate?.cancelJob(jobId);
    }

    private createAnnouncer(address: string): InstanceAnnouncer {
        const { settings, instanceList, clock, logger } = this.opts;
        return new InstanceAnnouncer({
            instanceList,
            clock,
            logger,
            record: {
                instanceId: settings.instanceId as InstanceId,
                kind: "side",
                region: settings.region as RegionName,
                zone: settings.zone as ZoneName,
                address,
                state: "live",
                service: this.service,
                hasDataFolder: false,
            },
        });
    }

    private applyService(service: ServiceDefinition | undefined): void {
        if (service !== undefined) {
            this.plainGate?.setItemTimeout(service.deadlineMs);
            this.gate?.setObjective({
                tokenGapObjectiveMs: service.tokenGapObjectiveMs,
                batchBalance: service.batchBalance,
            });
        }
    }

    private status(): SideStatus {
        const load = this.gate?.load();
        return {
            instanceId: this.opts.settings.instanceId as InstanceId,
            service: this.service,
            state: this.isLeaving ? "leaving" : "live",
            isHealthy: this.upstreamMonitor.isHealthy,
            models: this.upstreamMonitor.readyModels,
            role: this.upstreamMonitor.role,
            onlineRunning: load?.onlineRunning ?? this.callHandlers.runningCallCount,
            onlineQueued: load?.onlineQueued ?? 0,
            onlinePrefillTokens: load?.onlinePrefillTokens,
            batchRunning: load?.batchRunning ?? 0,
            batchQueued: load?.batchQueued ?? 0,
            revision: this.configuration.current()?.revision ?? 0,
        };
    }
}

function identityOf(opts: SideProcessOptions): PeerIdentity {
    return {
        instanceId: opts.settings.instanceId as InstanceId,
        incarnation: Math.floor(opts.clock.nowMs()) as Incarnation,
        kind: "side",
        zone: opts.settings.zone as ZoneName,
        region: opts.settings.region as RegionName,
    };
}
