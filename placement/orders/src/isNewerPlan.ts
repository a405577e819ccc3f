import type { ReceivedPlan } from "./receivedPlan.js";

/** Whether `plan` replaces `held`: of a later planner, or a later plan of the same one. */
export function isNewerPlan(plan: ReceivedPlan, held: ReceivedPlan | undefined): boolean {
    return held === undefined
        || plan.fencingNumber > held.fencingNumber
        || (plan.fencingNumber === held.fencingNumber && plan.planNumber > held.planNumber);
}
