import type { CapacityRow } from "./capacityRow.js";
import { fleetSize } from "./fleetSize.js";
import type { Measurement } from "./measurement.js";
import { valueAt } from "./valueAt.js";

const SECONDS_PER_DAY = 86_400;
const FAN_OUT = 16;
const BYTES_PER_MEGABYTE = 1_000_000;
const COPY_COUNT = 2;
/** Number of teams assumed for the relay measurement when its delta is scaled up. The measurement has fewer. */
const MEASURED_TEAMS = 100;
const CHANGES_PER_SECOND = fleetSize.changesPerDay / SECONDS_PER_DAY;

/** Computes the cost of each role from the measurements. Throws an `Error` if a quantity is missing. */
export function capacityRows(measurements: Measurement[]): CapacityRow[] {
    const cost = costsOf(measurements);
    const [entry, relay] = [entryRow(cost), relayRow(cost)];
    return [
        entry,
        sideRow(cost),
        relay,
        ownerRow(cost),
        segmentStoreRow(cost),
        plannerRow(cost),
        sumRow("entry and relay together", [entry, relay]),
    ];
}

interface Costs {
    /** Growth per unit of size, never negative. */
    slope: (name: string) => number;
    /** Value at the largest measured size, never negative. */
    largest: (name: string) => number;
    /** Value at a size, by {@link valueAt}. */
    at: (name: string, size: number) => number;
    configurationHeapBytes: number;
    /** Processor time of one process for following the configuration. */
    followCpuMsPerSecond: number;
    /** Bytes sent by one process for following the configuration. */
    followBytesPerSecond: number;
}

function costsOf(measurements: Measurement[]): Costs {
    const find = (name: string): Measurement => {
        const found = measurements.find(measurement => measurement.name === name);
        if (found === undefined) {
            throw new Error(`${name} was not measured`);
        }
        return found;
    };
    const slope = (name: string) => Math.max(0, find(name).slope);
    const largest = (name: string) => Math.max(0, find(name).values.at(-1) ?? 0);
    const at = (name: string, size: number) => valueAt(find(name), size);
    return {
        slope,
        largest,
        at,
        configurationHeapBytes: at("configuration.heap", fleetSize.teams),
        followCpuMsPerSecond: largest("distribution.cpu")
            + CHANGES_PER_SECOND
                * (largest("distribution.publish-cpu") + at("configuration.adopt-cpu", fleetSize.teams)),
        followBytesPerSecond: largest("distribution.sent")
            + CHANGES_PER_SECOND
                * (largest("distribution.publish-sent") + at("configuration.written", fleetSize.teams)),
    };
}

function entryRow(cost: Costs): CapacityRow {
    const links = fleetSize.linksPerEntry;
    return {
        role: "entry",
        state: `configuration of ${fleetSize.teams} teams; ${links} links with the load of their sides`,
        messages: "heartbeats and load of each linked side; beats to one parent; a delta for each change",
        cpuMsPerSecond: cost.at("links.cpu", links) + cost.followCpuMsPerSecond,
        heapBytes: cost.configurationHeapBytes + links * cost.slope("links.heap"),
        bytesPerSecond: cost.at("links.sent", links) + cost.followBytesPerSecond,
        keyValueCallsPerSecond: cost.slope("batch.idle-calls"),
        mechanism: "subset of upstreams (routing/choice); tree of relays (config/distribution)",
    };
}

function sideRow(cost: Costs): CapacityRow {
    const links = (fleetSize.entries * fleetSize.linksPerEntry) / fleetSize.upstreams;
    return {
        role: "side",
        state: `configuration of ${fleetSize.teams} teams; ${links.toFixed(1)} links of entries`,
        messages: "heartbeats and own load to each linked entry; beats to one parent; a delta for each change",
        cpuMsPerSecond: cost.at("links.cpu", links) + cost.followCpuMsPerSecond,
        heapBytes: cost.configurationHeapBytes + links * cost.slope("links.heap"),
        bytesPerSecond: cost.at("links.sent", links) + cost.followBytesPerSecond,
        keyValueCallsPerSecond: 0,
        mechanism: "subset of upstreams (routing/choice); tree of relays (config/distribution)",
    };
}

function relayRow(cost: Costs): CapacityRow {
    return {
        role: "relay (watcher of a zone), added to its entry",
        state: `revisions of ${Math.round((fleetSize.entries + fleetSize.upstreams) / fleetSize.zones)} processes`,
        messages: `beats of up to ${FAN_OUT} children; each delta ${FAN_OUT} times; root read once a second, one watch`,
        cpuMsPerSecond: FAN_OUT
            * (cost.slope("relay.cpu") + CHANGES_PER_SECOND * cost.slope("relay.publish-cpu")),
        heapBytes: FAN_OUT * cost.slope("links.heap"),
        bytesPerSecond: FAN_OUT
            * (cost.slope("relay.sent") + CHANGES_PER_SECOND * cost.slope("relay.publish-sent") * deltaGrowth(cost)),
        keyValueCallsPerSecond: cost.largest("distribution.calls") / 2,
        mechanism: "rendezvous rank over the instance list; content-addressed chunks",
    };
}

function sumRow(role: string, rows: CapacityRow[]): CapacityRow {
    const total = (value: (row: CapacityRow) => number) => rows.reduce((sum, row) => sum + value(row), 0);
    return {
        role,
        state: "as above",
        messages: "as above",
        cpuMsPerSecond: total(row => row.cpuMsPerSecond),
        heapBytes: total(row => row.heapBytes),
        bytesPerSecond: total(row => row.bytesPerSecond),
        keyValueCallsPerSecond: total(row => row.keyValueCallsPerSecond),
        mechanism: "as above",
    };
}

/** Returns the estimated size of a delta with all teams, as a multiple of its size with {@link MEASURED_TEAMS}. */
function deltaGrowth(cost: Costs): number {
    return cost.at("configuration.written", fleetSize.teams) / cost.at("configuration.written", MEASURED_TEAMS);
}

function ownerRow(cost: Costs): CapacityRow {
    const jobs = fleetSize.jobsPerDay / fleetSize.batchPartitions;
    const itemsPerSecond = fleetSize.itemsPerDay / SECONDS_PER_DAY / fleetSize.batchPartitions;
    const jobsPerSecond = fleetSize.jobsPerDay / SECONDS_PER_DAY / fleetSize.batchPartitions;
    return {
        role: `partition owner (one of ${fleetSize.batchPartitions}), added to its entry`,
        state: `${jobs.toFixed(0)} jobs, where all of a day are open at once; ranges of done items`,
        messages: "pulls and reports of sides, many items in each",
        cpuMsPerSecond: itemsPerSecond * cost.slope("batch.items.cpu"),
        heapBytes: jobs * cost.slope("batch.jobs.heap"),
        bytesPerSecond: itemsPerSecond * fleetSize.bytesPerItem,
        keyValueCallsPerSecond: jobsPerSecond * cost.slope("batch.jobs.calls"),
        mechanism: "leases with fencing numbers (batch/ownership); checkpoints of ranges under a write budget",
    };
}

function segmentStoreRow(cost: Costs): CapacityRow {
    const bytesPerSecond = (fleetSize.itemsPerDay * fleetSize.bytesPerItem * COPY_COUNT)
        / SECONDS_PER_DAY / fleetSize.segmentStores;
    return {
        role: `segment keeper (one of ${fleetSize.segmentStores}), added to its entry`,
        state: "segments on its disk; none in memory",
        messages: "segments of up to 1 MB, written to two keepers",
        cpuMsPerSecond: bytesPerSecond / BYTES_PER_MEGABYTE * cost.slope("segments.cpu"),
        heapBytes: cost.largest("segments.heap"),
        bytesPerSecond,
        keyValueCallsPerSecond: 0,
        mechanism: "immutable segments by digest, by rendezvous rank (batch/segments)",
    };
}

function plannerRow(cost: Costs): CapacityRow {
    const upstreams = fleetSize.upstreams / fleetSize.regions;
    const planBytes = cost.at("planner.size", upstreams);
    return {
        role: "planner of a region, added to its entry",
        state: `plan of ${upstreams} upstreams, ${(planBytes / 1024).toFixed(0)} KB in one value`,
        messages: "lease kept alive; the plan written when it changes, at most once a period",
        cpuMsPerSecond: cost.at("planner.cpu", upstreams) / fleetSize.plannerPeriodSeconds,
        heapBytes: COPY_COUNT * planBytes,
        bytesPerSecond: planBytes / fleetSize.plannerPeriodSeconds,
        keyValueCallsPerSecond: 2 / fleetSize.plannerPeriodSeconds,
        mechanism: "lease with a fencing number (placement/planner); sides converge (placement/orders)",
    };
}
