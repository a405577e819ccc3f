/** Condition under which a launched process counts as ready. */
export type Readiness =
    /** A GET request to the URL returns status 200. */
    | { kind: "url"; url: string; }
    /** The loopback port accepts connections. */
    | { kind: "port"; port: number; };
