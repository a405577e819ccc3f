/** Smallest and largest figure of the rounds, each with a seed of its own. */
export interface Spread {
    min: number;
    max: number;
}
