import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { OwnedKey } from "./ownedKey.js";
import type { TreeGroup } from "./treeGroup.js";

/** Lookup tables for the records of one group. Each group is indexed once, so unchanged groups keep theirs. */
export class GroupIndex {
    private static readonly indexes = new WeakMap<TreeGroup, GroupIndex>();

    readonly services: ServiceDefinition[] = [];
    readonly teams = new Map<TeamId, Omit<TeamDefinition, "keys">>();
    readonly keysByHash = new Map<string, OwnedKey>();
    readonly keysById = new Map<string, OwnedKey>();
    readonly keysByTeam = new Map<TeamId, KeyRecord[]>();

    private constructor(group: TreeGroup) {
        group.buckets.forEach(bucket =>
            bucket.records.forEach(record => {
                switch (record.kind) {
                    case "service":
                        this.services.push(record.service);
                        break;
                    case "team":
                        this.teams.set(record.team.teamId, record.team);
                        break;
                    case "key":
                        this.addKey({ teamId: record.teamId, key: record.key });
                        break;
                }
            })
        );
    }

    /** Returns the index of `group`, and creates it on the first call. */
    static of(group: TreeGroup): GroupIndex {
        const cached = GroupIndex.indexes.get(group);
        if (cached !== undefined) {
            return cached;
        }
        const index = new GroupIndex(group);
        GroupIndex.indexes.set(group, index);
        return index;
    }

    private addKey(owned: OwnedKey): void {
        this.keysByHash.set(owned.key.keyHash, owned);
        this.keysById.set(owned.key.keyId, owned);
        const keys = this.keysByTeam.get(owned.teamId) ?? [];
        keys.push(owned.key);
        this.keysByTeam.set(owned.teamId, keys);
    }
}
