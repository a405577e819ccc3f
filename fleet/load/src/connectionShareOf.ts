/**
 * Requests that one process may have at an upstream at the same time. Each takes a connection, and an upstream resets
 * those beyond the number that it accepts from all processes together.
 */
export function connectionShareOf(opts: { maxConnections: number; processes: number; }): number {
    return Math.max(1, Math.floor(opts.maxConnections / Math.max(1, opts.processes)));
}
