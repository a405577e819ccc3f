import { capacityBounds } from "./capacityBounds.js";
import type { CapacityRow } from "./capacityRow.js";
import { fleetSize } from "./fleetSize.js";
import { formatBytes } from "./formatBytes.js";
import type { KeyValueTotal } from "./keyValueTotals.js";
import type { Measurement } from "./measurement.js";

/** Renders the tables of docs/CAPACITY.md as Markdown, by the name of their placeholder in the page. */
export function renderTables(
    opts: { measurements: Measurement[]; rows: CapacityRow[]; totals: KeyValueTotal[]; measuredAt: string; },
): Map<string, string> {
    return new Map([
        ["measured", `Measured ${opts.measuredAt} by \`knapweed bench capacity\`.`],
        ["slopes", renderSlopeTable(opts.measurements)],
        ["roles", renderRoleTable(opts.rows)],
        ["margins", renderMarginTable(opts.rows)],
        ["key-value", renderTotalTable(opts.totals)],
        ["instance-list", renderInstanceListLine()],
    ]);
}

function renderSlopeTable(measurements: Measurement[]): string {
    return renderTable(
        ["quantity", "unit", "by", "sizes", "values", "slope", "at 0", "how"],
        measurements.map(measurement => [
            measurement.name,
            measurement.unit,
            measurement.sizeUnit,
            measurement.sizes.join(", "),
            measurement.values.map(formatNumber).join(", "),
            formatNumber(measurement.slope),
            formatNumber(measurement.intercept),
            measurement.conditions,
        ]),
    );
}

function renderRoleTable(rows: CapacityRow[]): string {
    return renderTable(
        ["role", "state", "messages", "carried by"],
        rows.map(row => [row.role, row.state, row.messages, row.mechanism]),
    );
}

function renderMarginTable(rows: CapacityRow[]): string {
    return renderTable(
        ["role", "processor", "of 3.8%", "memory", "of 64 MB", "sent", "of 25 KB/s", "key-value calls/s"],
        rows.map(row => [
            row.role,
            `${(row.cpuMsPerSecond / 10).toFixed(2)}% of a core`,
            formatShareOfBound(row.cpuMsPerSecond, capacityBounds.cpuMsPerSecond),
            formatBytes(row.heapBytes),
            formatShareOfBound(row.heapBytes, capacityBounds.heapBytes),
            `${formatBytes(row.bytesPerSecond)}/s`,
            formatShareOfBound(row.bytesPerSecond, capacityBounds.bytesPerSecond),
            formatNumber(row.keyValueCallsPerSecond),
        ]),
    );
}

function renderTotalTable(totals: KeyValueTotal[]): string {
    const bound = capacityBounds.keyValueReadsPerSecond;
    return renderTable(
        ["cause", "calls/s", `of ${bound} reads/s`],
        totals.map(
            total => [total.cause, formatNumber(total.callsPerSecond), formatShareOfBound(total.callsPerSecond, bound)],
        ),
    );
}

/** Renders the cost of reading the instance list. Currently each process reads its region's list once a second. */
function renderInstanceListLine(): string {
    const records = (fleetSize.entries + fleetSize.upstreams) / fleetSize.regions;
    const bytesPerSecond = records * fleetSize.instanceRecordBytes;
    return `A region's list has ${records.toFixed(0)} records of about ${fleetSize.instanceRecordBytes} B. Read once a `
        + `second by each process, as today, that is ${formatBytes(bytesPerSecond)}/s a process: `
        + `${formatShareOfBound(bytesPerSecond, capacityBounds.bytesPerSecond)}.`;
}

function formatShareOfBound(value: number, bound: number): string {
    return value <= bound
        ? `${((value / bound) * 100).toFixed(0)}%`
        : `**missed, ${(value / bound).toFixed(1)} times the bound**`;
}

function renderTable(header: string[], rows: string[][]): string {
    return [header, header.map(() => "---"), ...rows].map(cells => `| ${cells.join(" | ")} |`).join("\n");
}

function formatNumber(value: number): string {
    return value === 0 ? "0" : String(Number(value.toPrecision(3)));
}
