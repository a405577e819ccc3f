import type { ReceivedPlan } from "./receivedPlan.js";

/**
 * Returns whether `plan` replaces `current`: it has a higher fencing number, that is, a later planner, or a higher plan
 * number from the same planner.
 */
export function isNewerPlan(plan: ReceivedPlan, current: ReceivedPlan | undefined): boolean {
    return current === undefined
        || plan.fencingNumber > current.fencingNumber
        || (plan.fencingNumber === current.fencingNumber && plan.planNumber > current.planNumber);
}
