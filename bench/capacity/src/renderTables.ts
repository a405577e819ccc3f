import { capacityBounds } from "./capacityBounds.js";
import type { CapacityRow } from "./capacityRow.js";
import { fleetSize } from "./fleetSize.js";
import { formatBytes } from "./formatBytes.js";
import type { KeyValueTotal } from "./keyValueTotals.js";
import type { Measurement } from "./measurement.js";

/** Tables of docs/CAPACITY.md by the name of their place in the page. */
export function renderTables(
    opts: { measurements: Measurement[]; rows: CapacityRow[]; totals: KeyValueTotal[]; measuredAt: string; },
): Map<string, string> {
    return new Map([
        ["measured", `Measured ${opts.measuredAt} by \`knapweed bench capacity\`.`],
        ["slopes", slopeTable(opts.measurements)],
        ["roles", roleTable(opts.rows)],
        ["margins", marginTable(opts.rows)],
        ["key-value", totalTable(opts.totals)],
        ["instance-list", instanceListLine()],
    ]);
}

function slopeTable(measurements: Measurement[]): string {
    return table(
        ["quantity", "unit", "by", "sizes", "values", "slope", "at 0", "how"],
        measurements.map(measurement => [
            measurement.name,
            measurement.unit,
            measurement.sizeUnit,
            measurement.sizes.join(", "),
            measurement.values.map(short).join(", "),
            short(measurement.slope),
            short(measurement.intercept),
            measurement.conditions,
        ]),
    );
}

function roleTable(rows: CapacityRow[]): string {
    return table(
        ["role", "state", "messages", "carried by"],
        rows.map(row => [row.role, row.state, row.messages, row.mechanism]),
    );
}

function marginTable(rows: CapacityRow[]): string {
    return table(
        ["role", "processor", "of 3.8%", "memory", "of 64 MB", "sent", "of 25 KB/s", "key-value calls/s"],
        rows.map(row => [
            row.role,
            `${(row.cpuMsPerSecond / 10).toFixed(2)}% of a core`,
            verdict(row.cpuMsPerSecond, capacityBounds.cpuMsPerSecond),
            formatBytes(row.heapBytes),
            verdict(row.heapBytes, capacityBounds.heapBytes),
            `${formatBytes(row.bytesPerSecond)}/s`,
            verdict(row.bytesPerSecond, capacityBounds.bytesPerSecond),
            short(row.keyValueCallsPerSecond),
        ]),
    );
}

function totalTable(totals: KeyValueTotal[]): string {
    const bound = capacityBounds.keyValueReadsPerSecond;
    return table(
        ["cause", "calls/s", `of ${bound} reads/s`],
        totals.map(total => [total.cause, short(total.callsPerSecond), verdict(total.callsPerSecond, bound)]),
    );
}

/** Each process reads its region's list once a second today. */
function instanceListLine(): string {
    const records = (fleetSize.entries + fleetSize.upstreams) / fleetSize.regions;
    const bytesPerSecond = records * fleetSize.instanceRecordBytes;
    return `A region's list has ${records.toFixed(0)} records of about ${fleetSize.instanceRecordBytes} B. Read once a `
        + `second by each process, as today, that is ${formatBytes(bytesPerSecond)}/s a process: `
        + `${verdict(bytesPerSecond, capacityBounds.bytesPerSecond)}.`;
}

function verdict(value: number, bound: number): string {
    return value <= bound
        ? `${((value / bound) * 100).toFixed(0)}%`
        : `**missed, ${(value / bound).toFixed(1)} times the bound**`;
}

function table(header: string[], rows: string[][]): string {
    return [header, header.map(() => "---"), ...rows].map(cells => `| ${cells.join(" | ")} |`).join("\n");
}

function short(value: number): string {
    return value === 0 ? "0" : String(Number(value.toPrecision(3)));
}
