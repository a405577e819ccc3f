import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { BatchCandidate } from "./batchCandidate.js";
import { freeBatchSlots } from "./freeBatchSlots.js";
import type { ItemTimes } from "./itemTimes.js";

/**
 * Returns the upstream for a batch item: the one with the most free slots, in proportion to its speed, among those whose
 * software version wrote the item's events, then among all; undefined if none has a free slot. Upstreams at which the
 * item ends in time go before the others. An upstream at which the item has failed is chosen
 * only if no other has a free slot. Otherwise a single faulty upstream could make the item fail permanently.
 *
 * @param opts.softwareVersion version that wrote the item's events; undefined if it has none
 * @param opts.times undefined if all upstreams count as fast enough
 */
export function chooseBatchUpstream(
    candidates: readonly BatchCandidate[],
    opts: {
        failedUpstreamIds?: readonly UpstreamId[];
        softwareVersion?: SoftwareVersion | undefined;
        times?: ItemTimes | undefined;
    } = {},
): BatchCandidate | undefined {
    const withFreeSlots = candidates.filter(candidate => freeBatchSlots(candidate) > 0);
    const withoutFailure = withFreeSlots.filter(({ upstream }) =>
        opts.failedUpstreamIds?.includes(upstream.id) !== true
    );
    const allowed = withoutFailure.length > 0 ? withoutFailure : withFreeSlots;
    const ofVersion = allowed.filter(({ upstream }) => upstream.softwareVersion === opts.softwareVersion);
    const preferred = ofVersion.length > 0 ? ofVersion : allowed;
    const inTime = preferred.filter(candidate => endsInTime(candidate, opts.times));
    return (inTime.length > 0 ? inTime : preferred)
        .reduce<BatchCandidate | undefined>(
            (best, candidate) => best === undefined || freeSpeedOf(candidate) > freeSpeedOf(best) ? candidate : best,
            undefined,
        );
}

function endsInTime(candidate: BatchCandidate, times: ItemTimes | undefined): boolean {
    return times === undefined || times.remainingMs * (candidate.slowness ?? 1) <= times.leftMs;
}

function freeSpeedOf(candidate: BatchCandidate): number {
    return freeBatchSlots(candidate) / (candidate.slowness ?? 1);
}
