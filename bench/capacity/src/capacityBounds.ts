/** Upper bounds of the control cost of one node and of the load on the key-value service. */
export const capacityBounds = {
    /** Processor time; 38 ms/s are 3.8% of a core. */
    cpuMsPerSecond: 38,
    heapBytes: 64 * 1024 * 1024,
    bytesPerSecond: 25 * 1024,
    keyValueReadsPerSecond: 2_000,
    keyValueWritesPerSecond: 300,
};
