import { compareUrgency } from "./compareUrgency.js";
import type { Urgency } from "./urgency.js";
import { urgencyClassOf } from "./urgencyClassOf.js";

/** Compares requests of one team by class, then by urgency. The fair shares apply between requests of one class. */
export function compareWithinTeam(left: Urgency, right: Urgency): number {
    return urgencyClassOf(left) - urgencyClassOf(right) || compareUrgency(left, right);
}
