/** What one role costs the process that has it, at the size of {@link fleetSize}. */
export interface CapacityRow {
    role: string;
    state: string;
    /** Messages, in words. */
    messages: string;
    cpuMsPerSecond: number;
    heapBytes: number;
    bytesPerSecond: number;
    keyValueCallsPerSecond: number;
    mechanism: string;
}
