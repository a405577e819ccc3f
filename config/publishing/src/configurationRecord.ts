import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** The unit of a change: a service, a team without its keys, or one key. */
export type ConfigurationRecord =
    | { kind: "service"; service: ServiceDefinition; }
    | { kind: "team"; team: Omit<TeamDefinition, "keys">; }
    | { kind: "key"; teamId: TeamId; key: KeyRecord; };
