import { sleep } from "@knapweedwood/core.clock/sleep";
import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import { isDeepStrictEqual } from "node:util";
import { exchangePlanCall } from "./exchangePlanCall.js";
import type { ObservedUpstream } from "./observedUpstream.js";
import { PlannerLease } from "./plannerLease.js";
import type { PlannerTaskOptions } from "./plannerTaskOptions.js";
import { planRegion } from "./planRegion.js";
import { PlanStore } from "./planStore.js";
import type { RegionPlan } from "./regionPlan.js";

const PLANNING_INTERVAL_MS = 1_000;
const EXCHANGE_TIMEOUT_MS = 1_000;
/** Entries that try to acquire the lease. Limited so that calls to the key-value service don't grow with the fleet. */
const MAX_LEASE_CANDIDATES = 3;

/** Plans the region while this entry holds the planner's lease. */
export class PlannerTask {
    private readonly opts: PlannerTaskOptions;
    private readonly lease: PlannerLease;
    private readonly store: PlanStore;
    private readonly stopped = new AbortController();
    private running: Promise<void> = Promise.resolve();
    private plan: RegionPlan | undefined;

    constructor(opts: PlannerTaskOptions) {
        this.opts = opts;
        const { instanceId, region } = opts.endpoint.identity;
        this.lease = new PlannerLease({ ...opts, instanceId, region });
        this.store = new PlanStore({ ...opts, region });
    }

    /** Starts planning, once per interval. */
    start(): void {
        this.running = this.run();
    }

    /** Stops planning and releases the lease. */
    async stop(): Promise<void> {
        this.stopped.abort();
        await this.running;
        await this.lease.release().catch((thrown: unknown) => this.debug("placement-lease-not-released", thrown));
    }

    private async run(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            await this.runOnce().catch((thrown: unknown) => this.debug("placement-round-failed", thrown));
            await sleep(this.opts.clock, PLANNING_INTERVAL_MS, this.stopped.signal);
        }
    }

    private async runOnce(): Promise<void> {
        if (this.lease.fencingNumber === undefined && !this.isCandidate()) {
            return;
        }
        const isHeld = await this.lease.acquireOrRenew();
        const { fencingNumber } = this.lease;
        if (!isHeld || fencingNumber === undefined) {
            this.plan = undefined;
            return;
        }
        this.plan ??= await this.loadPreviousPlan(fencingNumber);
        await this.updatePlan(this.plan);
    }

    /** Reads the plan of the previous planner, from which this one continues. */
    private async loadPreviousPlan(fencingNumber: FencingNumber): Promise<RegionPlan> {
        const previous = await this.store.read();
        this.opts.logger.info("placement-planner", { fencingNumber });
        return { fencingNumber, planNumber: 0, upstreams: previous?.upstreams ?? [] };
    }

    private async updatePlan(previous: RegionPlan): Promise<void> {
        const view = this.opts.configuration.current();
        if (view === undefined) {
            return;
        }
        const sides = this.sides(new Set(view.services().flatMap(({ kind, name }) => kind === "plain" ? [] : [name])));
        const upstreams = await Promise.all(sides.map(side => this.exchange(side, previous)));
        const planned = planRegion({
            services: view.services(),
            upstreams,
            previous: previous.upstreams,
            demands: this.opts.demands(),
            maxConcurrentLoads: this.opts.maxConcurrentLoads,
            nowMs: this.opts.clock.nowMs(),
        });
        if (isDeepStrictEqual(planned, previous.upstreams)) {
            return;
        }
        const plan = { ...previous, planNumber: previous.planNumber + 1, upstreams: planned };
        this.plan = await this.store.write(plan) ? plan : undefined;
    }

    /** Sends a side its plan and returns the observed state of its upstream. */
    private async exchange(side: InstanceRecord, plan: RegionPlan): Promise<ObservedUpstream> {
        const upstream = plan.upstreams.find(planned => planned.instanceId === side.instanceId);
        const { instanceId, zone, state } = side;
        const engine = await this.callSide(side, {
            fencingNumber: plan.fencingNumber,
            planNumber: plan.planNumber,
            upstream,
        });
        return { instanceId, zone, state, service: side.service as ServiceName, engine };
    }

    private async callSide(
        side: InstanceRecord,
        request: NonNullable<NonNullable<typeof exchangePlanCall.types>["request"]>,
    ): Promise<EngineState | undefined> {
        try {
            const link = this.opts.endpoint.connect(side.address);
            const response = await singleFrame(
                link.call(exchangePlanCall, request, { timeoutMs: EXCHANGE_TIMEOUT_MS }),
            );
            return response.engine;
        }
        catch (thrown) {
            this.debug("placement-exchange-failed", thrown);
            return undefined;
        }
    }

    private sides(services: ReadonlySet<ServiceName>): InstanceRecord[] {
        const { region } = this.opts.endpoint.identity;
        return this.opts.instances().filter(instance =>
            instance.kind === "side" && instance.region === region
            && instance.service !== undefined && services.has(instance.service)
        );
    }

    private isCandidate(): boolean {
        const { instanceId, region } = this.opts.endpoint.identity;
        const entries = this.opts.instances()
            .filter(instance => instance.kind === "entry" && instance.region === region && instance.state === "live")
            .map(instance => instance.instanceId);
        return rendezvousRank(`placement/${region}`, [...new Set([instanceId, ...entries])])
            .slice(0, MAX_LEASE_CANDIDATES)
            .includes(instanceId);
    }

    private debug(event: string, thrown: unknown): void {
        this.opts.logger.debug(event, { error: String(thrown) });
    }
}
