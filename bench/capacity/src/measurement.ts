/** One quantity measured at several sizes. */
export interface Measurement {
    /** Name of the quantity, such as `links.cpu`. */
    name: string;
    /** Unit of the sizes, such as `links of a process`. */
    sizeUnit: string;
    /** Unit of the values, such as `ms/s`. */
    unit: string;
    /** Sizes at which the quantity was measured, shape [points]. */
    sizes: number[];
    /** Measured values, shape [points]. */
    values: number[];
    /** Growth of the value per unit of size, by least squares. */
    slope: number;
    /** Value at size 0, by least squares. */
    intercept: number;
    /** Conditions of the measurement, as printed in docs/CAPACITY.md. */
    conditions: string;
}
