/** An injected fault, with the times of its start and end. */
export interface FaultRecord {
    kind: string;
    target: string;
    fromMs: number;
    /** Infinity while the fault lasts. */
    toMs: number;
    /** Whether it is a planned operation such as SIGTERM, which must not cut off any request. */
    isPlanned: boolean;
}
