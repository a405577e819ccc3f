import type { CapacityRow } from "./capacityRow.js";
import { fleetSize } from "./fleetSize.js";

const SECONDS_PER_DAY = 86_400;
const WATCHERS_PER_ZONE = 2;
const CALLS_PER_PUBLISH = 2;
const BATCH_WRITE_BUDGET_PER_SECOND = 64;

/** Load on the key-value service from one cause. */
export interface KeyValueTotal {
    cause: string;
    callsPerSecond: number;
}

/** Returns the calls of the whole fleet to the key-value service by cause, with their sum last. */
export function keyValueTotals(rows: CapacityRow[]): KeyValueTotal[] {
    const callsOf = (role: string) => rows.find(row => row.role.startsWith(role))?.keyValueCallsPerSecond ?? 0;
    const totals = [
        {
            cause: "watchers of the configuration, reads and watches",
            callsPerSecond: fleetSize.zones * WATCHERS_PER_ZONE * callsOf("relay"),
        },
        {
            cause: "publishes",
            callsPerSecond: CALLS_PER_PUBLISH * fleetSize.changesPerDay / SECONDS_PER_DAY,
        },
        { cause: "batch roles of all entries at rest", callsPerSecond: fleetSize.entries * callsOf("entry") },
        { cause: "jobs", callsPerSecond: fleetSize.batchPartitions * callsOf("partition owner") },
        { cause: "checkpoints, by their write budget", callsPerSecond: BATCH_WRITE_BUDGET_PER_SECOND },
        { cause: "planners", callsPerSecond: fleetSize.regions * callsOf("planner") },
    ];
    return [
        ...totals,
        { cause: "all", callsPerSecond: totals.reduce((sum, total) => sum + total.callsPerSecond, 0) },
    ];
}
