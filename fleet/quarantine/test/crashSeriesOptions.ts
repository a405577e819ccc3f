/** A simulated series of crashes, and the work that runs meanwhile. */
export interface CrashSeriesOptions {
    seed: number;
    /** Duration of the series, in milliseconds; 0 for none. */
    seriesMs: number;
    /** Time between two crashes of several upstreams, in milliseconds. */
    crashIntervalMs: number;
    /** Number of processes that run items and share what they know. */
    runners: number;
    /** Number of parts of prompts among the items. */
    parts: number;
    /** Shortest and longest run time of an item, in milliseconds. */
    runMs: readonly [number, number];
    /** Number of items that arrive at once, and the time between two such arrivals in milliseconds. */
    burst: { items: number; intervalMs: number; };
    /** Time until which upstreams that live on lose an answer each second, in milliseconds; 0 for none. */
    lostAnswersUntilMs: number;
    /** Whether a gateway runs online requests at the same upstreams. */
    hasOnline: boolean;
    /** Number of items that crash their upstreams. */
    badItems: number;
}
