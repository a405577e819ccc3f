/** A gateway as callers and the balancer see it. */
export interface SoakGateway {
    name: string;
    host: string;
    callersPort: number;
    readinessPort: number;
    /** Counts the starts of its process. */
    startNumber: () => number;
}
