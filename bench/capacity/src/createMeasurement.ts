import type { Measurement } from "./measurement.js";

/** Creates a measurement and fits a line through its points by least squares. The slope is 0 for a single size. */
export function createMeasurement(
    opts: Omit<Measurement, "slope" | "intercept" | "sizes" | "values"> & {
        points: { size: number; value: number; }[];
    },
): Measurement {
    const { points, ...rest } = opts;
    const meanSize = mean(points.map(point => point.size));
    const meanValue = mean(points.map(point => point.value));
    const covariance = mean(points.map(point => (point.size - meanSize) * (point.value - meanValue)));
    const variance = mean(points.map(point => (point.size - meanSize) ** 2));
    const slope = variance === 0 ? 0 : covariance / variance;
    return {
        ...rest,
        sizes: points.map(point => point.size),
        values: points.map(point => point.value),
        slope,
        intercept: meanValue - slope * meanSize,
    };
}

function mean(values: number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
