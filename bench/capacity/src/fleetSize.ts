/** Fleet size for which docs/CAPACITY.md computes the costs. */
export const fleetSize = {
    entries: 2_200,
    upstreams: 10_000,
    regions: 8,
    zones: 29,
    teams: 19_000,
    models: 30,
    changesPerDay: 13_000,
    jobsPerDay: 5_900,
    itemsPerDay: 73_000_000,
    /** Upstreams that one entry is linked to, by the subset selection of routing/choice. */
    linksPerEntry: 24,
    /** Partitions of all batch jobs, as in the settings. */
    batchPartitions: 256,
    /** Instances with a data folder, which store segments (assumed). */
    segmentStores: 200,
    /** Bytes of an item with its result (assumed). */
    bytesPerItem: 4_000,
    /** Bytes of one instance list record as JSON. */
    instanceRecordBytes: 230,
    plannerPeriodSeconds: 5,
};
