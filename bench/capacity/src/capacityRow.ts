/** Cost of one role for the process that has it, at the size of {@link fleetSize}. */
export interface CapacityRow {
    role: string;
    /** Description of the state that the role holds. */
    state: string;
    /** Description of the messages that the role handles. */
    messages: string;
    /** Processor time. */
    cpuMsPerSecond: number;
    heapBytes: number;
    /** Bytes sent. */
    bytesPerSecond: number;
    keyValueCallsPerSecond: number;
    /** Mechanism that limits the cost. */
    mechanism: string;
}
