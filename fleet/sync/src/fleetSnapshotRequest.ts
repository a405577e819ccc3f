/** What a process asks a runner for. */
export interface FleetSnapshotRequest {
    /**
     * Revision of the configuration that the process knows; it then asks for a newer configuration only. Absent if it
     * asks for everything.
     */
    configurationAfter?: number;
}
