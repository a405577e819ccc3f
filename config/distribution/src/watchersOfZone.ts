import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

const WATCHERS_PER_ZONE = 2;

/**
 * Returns the entries that watch the key-value service for `zone`, shape [0..WATCHERS_PER_ZONE]. If the zone has no
 * entries, entries of other zones watch for it. Leaving entries are used only if all candidates are leaving.
 */
export function watchersOfZone(zone: ZoneName, instances: readonly InstanceRecord[]): InstanceRecord[] {
    const entries = instances.filter(instance => instance.kind === "entry");
    const candidates = [
        entries.filter(entry => entry.zone === zone && entry.state === "live"),
        entries.filter(entry => entry.zone === zone),
        entries.filter(entry => entry.state === "live"),
        entries,
    ].find(group => group.length > 0) ?? [];
    const byId = new Map(candidates.map(entry => [entry.instanceId, entry]));
    return rendezvousRank(`configuration/${zone}/watcher`, [...byId.keys()])
        .slice(0, WATCHERS_PER_ZONE)
        .map(instanceId => byId.get(instanceId) as InstanceRecord);
}
