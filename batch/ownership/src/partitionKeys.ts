import type { PartitionId } from "@knapweedwood/core.ids/partitionId";

/** Creates the keys of partition ownership in the key-value service, for partitions of a `scope` such as `batch`. */
export const partitionKeys = {
    owners: (scope: string) => `/${scope}/partitions/`,
    owner: (scope: string, partitionId: PartitionId) => `/${scope}/partitions/${partitionId}`,
    fencing: (scope: string, partitionId: PartitionId) => `/${scope}/fencing/${partitionId}`,
};
