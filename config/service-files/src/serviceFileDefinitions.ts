import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";

/** The services and teams that a set of service files defines. */
export interface ServiceFileDefinitions {
    services: ServiceDefinition[];
    teams: Omit<TeamDefinition, "keys">[];
}
