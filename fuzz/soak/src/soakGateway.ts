/** A gateway as callers and the balancer see it. */
export interface SoakGateway {
    name: string;
    host: string;
    callersPort: number;
    readinessPort: number;
    /** Returns the number of times that its process has been started. */
    startNumber: () => number;
}
