import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

const UPSTREAM_COUNT = 10;

/** Sizes and times of the fleet in which tests run a leading runner. */
export const runnerTestLoad = {
    /** Slots of each upstream. */
    slots: 7,
    jobs: 80,
    itemsPerJob: 10,
    /** As in the records of `createJobRecord`, Unix ms. */
    expiresAtMs: 60_000,
    resultRetentionMs: 120_000,
    upstreamIds: Array.from({ length: UPSTREAM_COUNT }, (_, index) => `u-${index}` as UpstreamId),
} as const;
