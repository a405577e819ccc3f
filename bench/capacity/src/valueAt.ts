import type { Measurement } from "./measurement.js";

/**
 * Returns the value at `size`, never below 0. It is interpolated between measured sizes, proportional to the size below
 * the smallest one, and extrapolated from the value at the largest one by the fitted slope.
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
