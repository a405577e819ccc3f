/** What control may cost a node, and what the key-value service bears. */
export const capacityBounds = {
    /** 3.8% of a core. */
    cpuMsPerSecond: 38,
    heapBytes: 64 * 1024 * 1024,
    bytesPerSecond: 25 * 1024,
    keyValueReadsPerSecond: 2_000,
    keyValueWritesPerSecond: 300,
};
