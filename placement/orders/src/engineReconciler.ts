import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { EngineOrder } from "@knapweedwood/engines.model-engine/engineOrder";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import { isNewerPlan } from "./isNewerPlan.js";
import { nextAction } from "./nextAction.js";
import type { ReceivedPlan } from "./receivedPlan.js";
import { reconcilerChart } from "./reconcilerChart.js";
import type { ReconcilerEvent } from "./reconcilerEvent.js";
import type { ReconcilerState } from "./reconcilerState.js";

/** Time after its last confirmation for which a plan is valid. */
const PLAN_VALIDITY_MS = 10_000;
/** Time before the end of the plan's validity from which no further order is sent. */
const PLAN_VALIDITY_MARGIN_MS = 3_000;

/**
 * Reconciles one engine with the newest plan received. It sends one order at a time: it compares the engine with the
 * plan, checks that the plan is still valid, sends an order and compares again. Only the side sends orders to its
 * engine, so this check protects engines that don't check fencing numbers.
 */
export class EngineReconciler {
    private readonly engine: Pick<ModelEngine, "state" | "order">;
    private readonly clock: Clock;
    private plan: ReceivedPlan | undefined;
    private confirmedAtMs = 0;
    private pendingOrder: { plan: ReceivedPlan; action: EngineOrder["action"]; } | undefined;
    private currentState: ReconcilerState = reconcilerChart.initial;

    constructor(opts: { engine: Pick<ModelEngine, "state" | "order">; clock: Clock; }) {
        this.engine = opts.engine;
        this.clock = opts.clock;
    }

    /** Current state of the chart. */
    get state(): ReconcilerState {
        return this.currentState;
    }

    /**
     * Accepts a newer plan, or a confirmation of the current plan.
     *
     * @param validAtMs when the sender held its lease, by this process's clock, in milliseconds
     * @returns whether the plan is the newest; older plans are ignored
     */
    receive(plan: ReceivedPlan, validAtMs: number): boolean {
        const isSamePlan = plan.fencingNumber === this.plan?.fencingNumber && plan.planNumber === this.plan.planNumber;
        if (!isSamePlan && !isNewerPlan(plan, this.plan)) {
            return false;
        }
        if (isSamePlan) {
            this.confirmedAtMs = Math.max(this.confirmedAtMs, validAtMs);
            return true;
        }
        this.plan = plan;
        this.confirmedAtMs = validAtMs;
        if (reconcilerChart.accepts(this.currentState, "PLAN")) {
            this.apply("PLAN");
        }
        return true;
    }

    /**
     * Starts another comparison of the engine with the plan. Called at intervals, because engines may restart or be
     * changed manually.
     */
    recheck(): void {
        if (reconcilerChart.accepts(this.currentState, "SWEEP")) {
            this.apply("SWEEP");
        }
        else if (this.currentState === "waiting" && this.plan !== undefined) {
            this.apply("PLAN");
        }
    }

    /** Runs one step. @returns whether another step can run at once */
    async step(): Promise<boolean> {
        switch (this.currentState) {
            case "comparing":
                this.apply(await this.compare());
                return true;
            case "claiming":
                this.apply(this.checkPlanValidity());
                return true;
            case "ordering":
                this.apply(await this.order());
                return true;
            default:
                return false;
        }
    }

    /** Runs steps until no further step can run at once. */
    async run(): Promise<void> {
        while (await this.step()) {
            // Each step is one comparison, one check of the plan's validity or one order.
        }
    }

    private async compare(): Promise<ReconcilerEvent> {
        const plan = this.plan;
        if (plan === undefined) {
            return "FAILED";
        }
        try {
            const action = nextAction(await this.engine.state(), plan.upstream);
            this.pendingOrder = action === undefined ? undefined : { plan, action };
            return action === undefined ? "EQUAL" : "DIFFERENT";
        }
        catch {
            return "FAILED";
        }
    }

    /** Checks that the order follows from the newest plan and that the plan was confirmed recently. */
    private checkPlanValidity(): ReconcilerEvent {
        return this.mayOrder() ? "CLAIMED" : "STALE";
    }

    private mayOrder(): boolean {
        const isPlanValid = this.clock.nowMs() < this.confirmedAtMs + PLAN_VALIDITY_MS - PLAN_VALIDITY_MARGIN_MS;
        return this.pendingOrder?.plan === this.plan && isPlanValid;
    }

    private async order(): Promise<ReconcilerEvent> {
        if (this.pendingOrder === undefined || !this.mayOrder()) {
            return "REFUSED";
        }
        const { plan, action } = this.pendingOrder;
        try {
            await this.engine.order({ fencingNumber: plan.fencingNumber, action });
            return "ORDERED";
        }
        catch (thrown) {
            return thrown instanceof KnapweedError && thrown.code === "ERR_KNAPWEED_ENGINE_ORDER_STALE"
                ? "REFUSED"
                : "FAILED";
        }
    }

    private apply(event: ReconcilerEvent): void {
        this.currentState = reconcilerChart.next(this.currentState, event);
    }
}
