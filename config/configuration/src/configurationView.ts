import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { KeyRecord } from "./keyRecord.js";
import type { ServiceDefinition } from "./serviceDefinition.js";
import type { TeamDefinition } from "./teamDefinition.js";

/** Read access to one revision of the configuration. Immutable. */
export interface ConfigurationView {
    readonly revision: Revision;
    /** Digest of the whole configuration. */
    readonly digest: string;
    services(): ServiceDefinition[];
    service(name: ServiceName): ServiceDefinition | undefined;
    /** Returns the service that offers a model or adapter with this name. */
    serviceOfModel(model: ModelName): ServiceDefinition | undefined;
    teams(): TeamDefinition[];
    team(teamId: TeamId): TeamDefinition | undefined;
    /** Returns the key with this hash (SHA-256, hexadecimal) and its team. Revoked keys are included. */
    findKey(keyHash: string): { team: TeamDefinition; key: KeyRecord; } | undefined;
    /** Returns the key with this id and its team. Revoked keys are included. */
    findKeyById(keyId: KeyId): { team: TeamDefinition; key: KeyRecord; } | undefined;
}
