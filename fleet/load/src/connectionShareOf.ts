/**
 * Returns the number of concurrent requests that one process may send to an upstream, at least 1. Each request uses a
 * connection, and an upstream resets connections beyond the number that it accepts from all processes together.
 */
export function connectionShareOf(opts: { maxConnections: number; processes: number; }): number {
    return Math.max(1, Math.floor(opts.maxConnections / Math.max(1, opts.processes)));
}
