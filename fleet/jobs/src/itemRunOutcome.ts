/** How a run of an item ended. */
export type ItemRunOutcome =
    | { kind: "completed"; }
    /** The upstream reports that the item can never be processed. */
    | { kind: "impossible"; }
    /** The upstream ran the item and failed. */
    | { kind: "failed"; }
    /** The upstream did not run the item. If misdirected, another process responds at its address. */
    | { kind: "not-run"; isMisdirected: boolean; }
    /** The HTTP client refuses to send the item, whatever the upstream. It counts as a failed attempt. */
    | { kind: "unsendable"; code: string; message?: string; }
    /** The run was interrupted. The events received so far are kept. */
    | { kind: "broken"; code: string; isUnreachable: boolean; isConnectionBroken: boolean; message?: string; }
    /** The output can't be trusted. The item starts over. */
    | { kind: "garbled"; code: string; };
