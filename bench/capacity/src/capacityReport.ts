import type { CapacityRow } from "./capacityRow.js";
import type { KeyValueTotal } from "./keyValueTotals.js";
import type { Measurement } from "./measurement.js";

/** What `knapweed bench capacity` writes. */
export interface CapacityReport {
    measuredAt: string;
    measurements: Measurement[];
    rows: CapacityRow[];
    keyValueTotals: KeyValueTotal[];
}
