import type { ReceivedPlan } from "./receivedPlan.js";

/** Whether `plan` replaces `current`: of a later planner, or a later plan of the same one. */
export function isNewerPlan(plan: ReceivedPlan, current: ReceivedPlan | undefined): boolean {
    return current === undefined
        || plan.fencingNumber > current.fencingNumber
        || (plan.fencingNumber === current.fencingNumber && plan.planNumber > current.planNumber);
}
