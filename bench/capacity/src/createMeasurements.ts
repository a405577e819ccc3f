import { createMeasurement } from "./createMeasurement.js";
import type { Measurement } from "./measurement.js";

/** One quantity that was measured at each point. */
interface Quantity<Point> {
    name: string;
    unit: string;
    value: (point: Point) => number;
}

/** Creates the measurements of several quantities that were measured at the same points, shape [quantities]. */
export function createMeasurements<Point>(opts: {
    sizeUnit: string;
    conditions: string;
    points: readonly Point[];
    sizeOf: (point: Point) => number;
    quantities: readonly Quantity<Point>[];
}): Measurement[] {
    const { sizeUnit, conditions, points, sizeOf, quantities } = opts;
    return quantities.map(({ name, unit, value }) =>
        createMeasurement({
            name,
            unit,
            sizeUnit,
            conditions,
            points: points.map(point => ({ size: sizeOf(point), value: value(point) })),
        })
    );
}
