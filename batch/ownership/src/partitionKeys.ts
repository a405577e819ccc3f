import type { PartitionId } from "@knapweedwood/core.ids/partitionId";

/** Keys of partition ownership in the key-value service, for the partitions of one `scope` such as `batch`. */
export const partitionKeys = {
    owners: (scope: string) => `/${scope}/partitions/`,
    owner: (scope: string, partitionId: PartitionId) => `/${scope}/partitions/${partitionId}`,
    fencing: (scope: string, partitionId: PartitionId) => `/${scope}/fencing/${partitionId}`,
};
