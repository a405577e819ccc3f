import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { canManageTeam } from "./canManageTeam.js";
import type { OperatorsApiOptions } from "./operatorsApiOptions.js";
import { roleSets } from "./roleSets.js";
import type { Route } from "./route.js";

const DAY_PATTERN = /^\d{4}-\d{2}-\d{2}$/u;
const DAY_CHARACTERS = 10;

/** Returns the route for the usage of teams in a UTC day. */
export function usageRoutes(opts: OperatorsApiOptions): Route[] {
    return [
        {
            method: "GET",
            path: "/usage",
            roles: roleSets.operators,
            handle: async ({ caller, query }) => {
                const today = new Date(opts.clock.nowMs()).toISOString().slice(0, DAY_CHARACTERS);
                const day = query.get("day") ?? today;
                if (!DAY_PATTERN.test(day)) {
                    throw new KnapweedError("QUERY_INVALID", `Expected a day as YYYY-MM-DD, got "${day}"`, {
                        statusCode: 400,
                        outcome: "not-run",
                        parameter: "day",
                    });
                }
                const totals = await opts.usage?.usageOfDay(day) ?? new Map();
                const teams = [...totals.entries()]
                    .filter(([teamId]) => canManageTeam(caller, teamId))
                    .map(([teamId, used]) => ({ teamId, ...used }));
                return { day, teams };
            },
        },
    ];
}
