import type { CapacityRow } from "./capacityRow.js";
import type { KeyValueTotal } from "./keyValueTotals.js";
import type { Measurement } from "./measurement.js";

/** Report of `knapweed bench capacity`. */
export interface CapacityReport {
    /** Time of the report in ISO 8601. */
    measuredAt: string;
    measurements: Measurement[];
    rows: CapacityRow[];
    keyValueTotals: KeyValueTotal[];
}
