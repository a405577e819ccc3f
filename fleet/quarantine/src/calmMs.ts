/** Time without a crash that no probe explains, after which the upstreams of a service are calm, in milliseconds. */
export const CALM_MS = 5000;
