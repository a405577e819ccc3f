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

/** How long a plan may be acted upon after it was last confirmed. */
const PLAN_VALIDITY_MS = 10_000;
/** Time before the claim's end at which no further order is begun. */
const PLAN_VALIDITY_MARGIN_MS = 3_000;

/**
 * Converges one engine on the newest plan received, one order at a time: compare, check the claim, order, compare.
 * The side is the only one that orders its engine, so that this is the guard where engines check no fencing number.
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

    get state(): ReconcilerState {
        return this.currentState;
    }

    /**
     * Takes a plan, or the confirmation of the one held.
     *
     * @param validAtMs when the sender held its lease, by this process's clock
     * @returns whether the plan is the newest; an older one is ignored
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

    /** Compares again what is with what is wanted; called at intervals, for engines restart or are changed by hand. */
    recheck(): void {
        if (reconcilerChart.accepts(this.currentState, "SWEEP")) {
            this.apply("SWEEP");
        }
        else if (this.currentState === "waiting" && this.plan !== undefined) {
            this.apply("PLAN");
        }
    }

    /** Takes one step. @returns whether there is another to take at once */
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

    /** Takes steps until there is nothing to do. */
    async run(): Promise<void> {
        while (await this.step()) {
            // Each step is one order or one comparison.
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

    /** The order must follow from the newest plan, and the plan must have been confirmed lately. */
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
