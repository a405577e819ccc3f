import type { Measurement } from "./measurement.js";

/**
 * The value at `size`, never below zero: between measured sizes by interpolation, below the smallest in proportion to
 * it, above the largest on the fitted line, moved to meet the largest value.
 */
export function valueAt(measurement: Measurement, size: number): number {
    const points = measurement.sizes.map((measured, index) => ({
        size: measured,
        value: measurement.values[index] ?? 0,
    }));
    const above = points.find(point => point.size >= size);
    const below = points.findLast(point => point.size <= size);
    if (above === undefined) {
        return Math.max(0, (below?.value ?? 0) + measurement.slope * (size - (below?.size ?? 0)));
    }
    if (below === undefined) {
        return Math.max(0, above.value * size / above.size);
    }
    const share = above.size === below.size ? 0 : (size - below.size) / (above.size - below.size);
    return Math.max(0, below.value + share * (above.value - below.value));
}
