/** An injected fault. */
export interface FaultRecord {
    linkIndex: number;
    /** Time on the clock of `performance.now()`. */
    atMs: number;
    /** Direction that the relay stops forwarding, or `cut` for a closed connection. */
    kind: "forward" | "backward" | "both" | "cut";
}
