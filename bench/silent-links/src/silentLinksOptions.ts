/** Options of {@link runSilentLinks}. */
export interface SilentLinksOptions {
    /** Time during which calls are made and faults are injected. */
    seconds: number;
    /** Seed of the calls and of the faults. */
    seed: number;
}
