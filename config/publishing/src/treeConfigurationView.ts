import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";
import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { ConfigurationRoot } from "./configurationRoot.js";
import type { ConfigurationTree } from "./configurationTree.js";
import { GroupIndex } from "./groupIndex.js";
import type { OwnedKey } from "./ownedKey.js";

interface FoundKey {
    team: TeamDefinition;
    key: KeyRecord;
}

/**
 * A configuration view backed directly by a tree. It shares the indexes of all unchanged groups with the views of other
 * revisions, so adopting a new revision costs little however many teams there are.
 */
export class TreeConfigurationView implements ConfigurationView {
    readonly revision: Revision;
    readonly digest: string;
    private readonly indexes: GroupIndex[];
    private readonly serviceList: ServiceDefinition[];
    private readonly servicesByName: Map<ServiceName, ServiceDefinition>;
    private readonly servicesByModel: Map<string, ServiceDefinition>;
    private readonly teamCache = new Map<TeamId, TeamDefinition>();

    constructor(root: Pick<ConfigurationRoot, "revision" | "digest">, tree: ConfigurationTree) {
        this.revision = root.revision;
        this.digest = root.digest;
        this.indexes = tree.groups.map(group => GroupIndex.of(group));
        this.serviceList = this.indexes.flatMap(index => index.services);
        this.servicesByName = new Map(this.serviceList.map(service => [service.name, service]));
        this.servicesByModel = new Map(this.serviceList.flatMap(modelEntries));
    }

    services(): ServiceDefinition[] {
        return this.serviceList;
    }

    service(name: ServiceName): ServiceDefinition | undefined {
        return this.servicesByName.get(name);
    }

    serviceOfModel(model: ModelName): ServiceDefinition | undefined {
        return this.servicesByModel.get(model);
    }

    /** Takes time proportional to the number of teams. */
    teams(): TeamDefinition[] {
        return this.indexes
            .flatMap(index => [...index.teams.keys()])
            .flatMap(teamId => this.team(teamId) ?? []);
    }

    team(teamId: TeamId): TeamDefinition | undefined {
        const cached = this.teamCache.get(teamId);
        const fields = cached === undefined ? firstMatch(this.indexes, index => index.teams.get(teamId)) : undefined;
        if (fields === undefined) {
            return cached;
        }
        const keys = this.indexes.flatMap(index => index.keysByTeam.get(teamId) ?? []);
        const team = { ...fields, keys };
        this.teamCache.set(teamId, team);
        return team;
    }

    findKey(keyHash: string): FoundKey | undefined {
        return this.withTeam(firstMatch(this.indexes, index => index.keysByHash.get(keyHash)));
    }

    findKeyById(keyId: KeyId): FoundKey | undefined {
        return this.withTeam(firstMatch(this.indexes, index => index.keysById.get(keyId)));
    }

    private withTeam(owned: OwnedKey | undefined): FoundKey | undefined {
        const team = owned === undefined ? undefined : this.team(owned.teamId);
        return owned === undefined || team === undefined ? undefined : { team, key: owned.key };
    }
}

function firstMatch<Value>(indexes: GroupIndex[], find: (index: GroupIndex) => Value | undefined): Value | undefined {
    for (const index of indexes) {
        const found = find(index);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}

function modelEntries(service: ServiceDefinition): [string, ServiceDefinition][] {
    return service.models
        .flatMap(model => [model.name as string, ...model.adapters.map(adapter => adapter.name as string)])
        .map(name => [name, service]);
}
