import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ItemSlots } from "./itemSlots.js";
import type { ItemTimes } from "./itemTimes.js";

/**
 * Returns the slots for a batch item: those of the upstream with the most, in proportion to its speed, among those whose
 * software version wrote the item's events, then among all; undefined if there are none. Upstreams at which the
 * item ends in time go before the others. An upstream at which the item has failed is chosen
 * only if no other has a slot. Otherwise a single faulty upstream could make the item fail permanently.
 *
 * @param opts.softwareVersion version that wrote the item's events; undefined if it has none
 * @param opts.times undefined if all upstreams count as fast enough
 */
export function chooseItemSlots(
    slots: readonly ItemSlots[],
    opts: {
        failedUpstreamIds?: readonly UpstreamId[];
        softwareVersion?: SoftwareVersion | undefined;
        times?: ItemTimes | undefined;
    } = {},
): ItemSlots | undefined {
    const withoutFailure = slots.filter(({ candidate: { upstream } }) =>
        opts.failedUpstreamIds?.includes(upstream.id) !== true
    );
    const allowed = withoutFailure.length > 0 ? withoutFailure : slots;
    const ofVersion = allowed.filter(({ candidate: { upstream } }) =>
        upstream.softwareVersion === opts.softwareVersion
    );
    const preferred = ofVersion.length > 0 ? ofVersion : allowed;
    const inTime = preferred.filter(one => endsInTime(one, opts.times));
    return (inTime.length > 0 ? inTime : preferred)
        .reduce<ItemSlots | undefined>(
            (best, one) => best === undefined || freeSpeedOf(one) > freeSpeedOf(best) ? one : best,
            undefined,
        );
}

function endsInTime({ candidate }: ItemSlots, times: ItemTimes | undefined): boolean {
    return times === undefined || times.remainingMs * (candidate.slowness ?? 1) <= times.leftMs;
}

function freeSpeedOf({ candidate, count }: ItemSlots): number {
    return count / (candidate.slowness ?? 1);
}
