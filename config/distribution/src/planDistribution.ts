import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import type { DistributionPosition } from "./distributionPosition.js";
import { watchersOfZone } from "./watchersOfZone.js";

/**
 * Maximum average number of processes below one relay. A zone has relays only if each of its watchers
 * would otherwise have more processes below it.
 */
const FAN_OUT = 16;
const SIBLINGS_IN_OTHER_ZONES = 2;
const MAX_PARENTS_PER_GROUP = 4;

/**
 * Returns the position of one process. The watchers of its zone are at the top. Relays are below them if the zone is
 * large, and all other processes are below the relays. The number of relays doubles rather than grows by one, so that a
 * process rarely changes its parent.
 */
export function planDistribution(
    opts: { self: InstanceRecord; instances: readonly InstanceRecord[]; },
): DistributionPosition {
    const { self } = opts;
    const others = opts.instances.filter(instance =>
        instance.instanceId !== self.instanceId && instance.kind !== "upstream"
    );
    const all = [...others, self];
    const watchers = watchersOfZone(self.zone, all);
    if (watchers.some(watcher => watcher.instanceId === self.instanceId)) {
        return { isWatcher: true, parents: [], siblings: siblingsOf(self, watchers, all) };
    }
    const members = all
        .filter(instance => instance.zone === self.zone)
        .filter(instance => watchers.every(watcher => watcher.instanceId !== instance.instanceId));
    const relays = relaysOf(self, members, watchers.length);
    const isRelay = relays.some(relay => relay.instanceId === self.instanceId);
    const preferred = isRelay ? [] : rankInstances(`configuration/${self.instanceId}/relay`, relays);
    const entries = others.filter(instance => instance.kind === "entry");
    const candidates = [
        preferred,
        rankInstances(`configuration/${self.instanceId}/watcher`, watchers),
        rankInstances(`configuration/${self.instanceId}/entry`, entries.filter(entry => entry.zone === self.zone)),
        rankInstances(`configuration/${self.instanceId}/entry`, entries.filter(entry => entry.zone !== self.zone)),
    ];
    const parents = candidates.flatMap(group => group.slice(0, MAX_PARENTS_PER_GROUP));
    return { isWatcher: false, parents: [...new Set(parents)], siblings: [] };
}

function relaysOf(self: InstanceRecord, members: InstanceRecord[], watcherCount: number): InstanceRecord[] {
    if (members.length <= watcherCount * FAN_OUT) {
        return [];
    }
    const count = 2 ** Math.ceil(Math.log2(members.length / FAN_OUT));
    return rankInstances(`configuration/${self.zone}/relay`, members).slice(0, count);
}

function siblingsOf(self: InstanceRecord, watchers: InstanceRecord[], all: InstanceRecord[]): InstanceRecord[] {
    const sameZone = watchers.filter(watcher => watcher.instanceId !== self.instanceId);
    const otherZones = [...new Set(all.map(instance => instance.zone))].filter(zone => zone !== self.zone);
    const inOtherZones = otherZones.flatMap(zone => watchersOfZone(zone, all).filter(watcher => watcher.zone === zone));
    const key = `configuration/${self.instanceId}/sibling`;
    return [...sameZone, ...rankInstances(key, inOtherZones).slice(0, SIBLINGS_IN_OTHER_ZONES)];
}

function rankInstances(key: string, instances: readonly InstanceRecord[]): InstanceRecord[] {
    const byId = new Map<InstanceId, InstanceRecord>(instances.map(instance => [instance.instanceId, instance]));
    return rendezvousRank(key, [...byId.keys()]).map(instanceId => byId.get(instanceId) as InstanceRecord);
}
