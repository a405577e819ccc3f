/** Options of the bench. */
export interface SilentLinksOptions {
    seconds: number;
    seed: number;
}
