import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";

/** What a set of service files defines. */
export interface ServiceFileDefinitions {
    services: ServiceDefinition[];
    teams: Omit<TeamDefinition, "keys">[];
}
