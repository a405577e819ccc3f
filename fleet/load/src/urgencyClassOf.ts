import type { Urgency } from "./urgency.js";

/**
 * Returns the class of a request, 0 to 3. All teams' requests of a lower class are served first: those whose response
 * has begun, then the others, each time those that can still meet their objective first.
 */
export function urgencyClassOf(urgency: Pick<Urgency, "isStarted" | "isLate">): number {
    return (urgency.isStarted ? 0 : 2) + (urgency.isLate ? 1 : 0);
}
