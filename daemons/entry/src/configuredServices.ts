import { mayCall } from "@knapweedwood/api.callers/mayCall";
import type { ServiceLookup } from "@knapweedwood/batch.owner/serviceLookup";
import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/**
 * Returns a lookup of services in the active configuration, for owners of partitions. It finds only services that the
 * team may call.
 */
export function configuredServices(configuration: ConfigurationSource): ServiceLookup {
    const callable = (service: ServiceDefinition | undefined, teamId: TeamId) =>
        service !== undefined && mayCall(service, teamId) ? service : undefined;
    return {
        isReady: () => configuration.current() !== undefined,
        findByModel: (model, teamId) => callable(configuration.current()?.serviceOfModel(model), teamId),
        findByName: (name, teamId) => callable(configuration.current()?.service(name), teamId),
    };
}
