import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { ConfigurationView } from "./configurationView.js";
import type { KeyRecord } from "./keyRecord.js";
import type { ServiceDefinition } from "./serviceDefinition.js";
import type { TeamDefinition } from "./teamDefinition.js";

interface FoundKey {
    team: TeamDefinition;
    key: KeyRecord;
}

/** A configuration held whole in memory, indexed by name, model and key. */
export class SnapshotConfigurationView implements ConfigurationView {
    readonly revision: Revision;
    readonly digest: string;
    private readonly serviceList: ServiceDefinition[];
    private readonly teamList: TeamDefinition[];
    private readonly servicesByName: Map<ServiceName, ServiceDefinition>;
    private readonly servicesByModel: Map<string, ServiceDefinition>;
    private readonly teamsById: Map<TeamId, TeamDefinition>;
    private readonly keysByHash: Map<string, FoundKey>;
    private readonly keysById: Map<KeyId, FoundKey>;

    constructor(
        opts: { revision: Revision; digest: string; services: ServiceDefinition[]; teams: TeamDefinition[]; },
    ) {
        this.revision = opts.revision;
        this.digest = opts.digest;
        this.serviceList = opts.services;
        this.teamList = opts.teams;
        this.servicesByName = new Map(opts.services.map(service => [service.name, service]));
        this.servicesByModel = new Map(opts.services.flatMap(modelEntries));
        this.teamsById = new Map(opts.teams.map(team => [team.teamId, team]));
        const keys = opts.teams.flatMap(team => team.keys.map(key => ({ team, key })));
        this.keysByHash = new Map(keys.map(found => [found.key.keyHash, found]));
        this.keysById = new Map(keys.map(found => [found.key.keyId, found]));
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

    teams(): TeamDefinition[] {
        return this.teamList;
    }

    team(teamId: TeamId): TeamDefinition | undefined {
        return this.teamsById.get(teamId);
    }

    findKey(keyHash: string): FoundKey | undefined {
        return this.keysByHash.get(keyHash);
    }

    findKeyById(keyId: KeyId): FoundKey | undefined {
        return this.keysById.get(keyId);
    }
}

function modelEntries(service: ServiceDefinition): [string, ServiceDefinition][] {
    return service.models
        .flatMap(model => [model.name as string, ...model.adapters.map(adapter => adapter.name as string)])
        .map(name => [name, service]);
}
