/** Trouble that was made, with its time. */
export interface FaultRecord {
    kind: string;
    target: string;
    fromMs: number;
    /** Infinity while it lasts. */
    toMs: number;
    /** Work that is announced, such as SIGTERM: it may cut nothing off. */
    isPlanned: boolean;
}
