/** One quantity measured at several sizes. */
export interface Measurement {
    /** Such as `links.cpu`. */
    name: string;
    /** What grows, such as `links`. */
    sizeUnit: string;
    /** Unit of the values, such as `ms/s`. */
    unit: string;
    /** Shape [points]. */
    sizes: number[];
    /** Shape [points]. */
    values: number[];
    /** Growth of the value per unit of size, by least squares. */
    slope: number;
    /** Value at size 0, by least squares. */
    intercept: number;
    /** How it was measured, for the page. */
    conditions: string;
}
