/** How a run of an item ended. */
export type ItemRunOutcome =
    | { kind: "completed"; }
    /** The upstream says that the item can never be done. */
    | { kind: "impossible"; }
    /** The upstream ran it and failed. */
    | { kind: "failed"; }
    /** The upstream did not run it; where it is misdirected, another process answers at its address. */
    | { kind: "not-run"; isMisdirected: boolean; }
    /** The run broke off; what has come is kept. */
    | { kind: "broken"; code: string; isUnreachable: boolean; }
    /** What came can't be trusted; the item begins anew. */
    | { kind: "garbled"; code: string; };
