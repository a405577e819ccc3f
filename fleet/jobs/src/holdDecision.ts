/** Decision of a runner on a request to hold a job. `approvedBy` is the fencing number of the leader that approved. */
export type HoldDecision =
    | { kind: "hold"; approvedBy: number | undefined; }
    | { kind: "over-limit"; }
    | { kind: "reject"; };
