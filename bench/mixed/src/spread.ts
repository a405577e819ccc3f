/** Smallest and largest value of a figure over the rounds. Each round has a separate seed. */
export interface Spread {
    min: number;
    max: number;
}
