/** How a launched process shows that it is ready. */
export type Readiness =
    /** The URL answers with status 200. */
    | { kind: "url"; url: string; }
    /** The loopback port accepts connections. */
    | { kind: "port"; port: number; };
