/** A fault that the bench caused. */
export interface FaultRecord {
    linkIndex: number;
    atMs: number;
    kind: "forward" | "backward" | "both" | "cut";
}
