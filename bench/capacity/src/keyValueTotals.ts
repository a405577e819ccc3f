import type { CapacityRow } from "./capacityRow.js";
import { fleetSize } from "./fleetSize.js";

const SECONDS_PER_DAY = 86_400;
const WATCHERS_PER_ZONE = 2;
const CALLS_PER_PUBLISH = 2;
const BATCH_WRITE_BUDGET_PER_SECOND = 64;

/** One line of the key-value service's load. */
export interface KeyValueTotal {
    cause: string;
    callsPerSecond: number;
}

/** Calls of the whole fleet on the key-value service, by cause. */
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
