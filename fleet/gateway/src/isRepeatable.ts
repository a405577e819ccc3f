import type { Route } from "@knapweedwood/fleet.view/route";

/** Whether a request of the route may run more than once. */
export function isRepeatable({ kind, isResumable }: Route): boolean {
    return kind === "idempotent" || (kind === "stream" && isResumable);
}
