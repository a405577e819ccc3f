import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { RendezvousSubset } from "@knapweedwood/routing.choice/rendezvousSubset";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

/** Maximum number of sides per service that an entry links to in its own zone, and in all other zones together. */
export const LINKED_SUBSET_SIZE = 24;

/**
 * Selects the sides that an entry links to. For each service, selects a deterministic subset of the sides in the
 * entry's own zone, and another subset of the sides in all other zones.
 *
 * @param records listed sides, shape [sides]
 * @returns shape [linked]
 */
export function linkedSubset(
    records: InstanceRecord[],
    opts: { entryId: InstanceId; zone: ZoneName; },
): InstanceRecord[] {
    const subset = new RendezvousSubset({ entryId: opts.entryId, subsetSize: LINKED_SUBSET_SIZE });
    const groups = new Map<string, InstanceRecord[]>();
    records.forEach(record => {
        const key = `${record.zone === opts.zone ? "near" : "far"} ${record.service ?? ""}`;
        const group = groups.get(key) ?? [];
        group.push(record);
        groups.set(key, group);
    });
    return [...groups.values()].flatMap(group => {
        const chosen = new Set(subset.subsetOf(group.map(record => record.instanceId)));
        return group.filter(record => chosen.has(record.instanceId));
    });
}
