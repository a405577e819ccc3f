/** A load: how many times the usual rate arrives, and which share of the engines is there, by time. */
export interface LoadPattern {
    name: string;
    durationMs: number;
    /** Span that the figures are taken over, and after which recovery is timed. */
    fromMs: number;
    toMs: number;
    rateFactor: (nowMs: number) => number;
    engineShare: (nowMs: number) => number;
}
