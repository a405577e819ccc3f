import type { RegionName } from "@knapweedwood/core.ids/regionName";

/** Keys of the placement in the key-value service. Each region has its own. */
export const placementKeys = {
    holder: (region: RegionName): string => `regions/${region}/placement/holder`,
    plan: (region: RegionName): string => `regions/${region}/placement/plan`,
};
