import type { ConfigurationProblem } from "./configurationProblem.js";
import type { Limits } from "./limits.js";
import type { ServiceDefinition } from "./serviceDefinition.js";
import type { TeamDefinition } from "./teamDefinition.js";

const LIMIT_FIELDS = ["requestsPerSecond", "tokensPerSecond", "concurrency"] as const;

/**
 * Checks the rules that involve several definitions, and that the models of a service match its kind.
 *
 * @returns every problem found, shape [problems]
 */
export function checkConfiguration(
    opts: { services: readonly ServiceDefinition[]; teams: readonly Pick<TeamDefinition, "teamId" | "limits">[]; },
): ConfigurationProblem[] {
    const limitsByTeam = new Map<string, Limits>(opts.teams.map(team => [team.teamId, team.limits]));
    return [
        ...opts.services.flatMap(service => unknownTeams(service, limitsByTeam)),
        ...opts.services.flatMap(service => limitsOverQuota(service, limitsByTeam)),
        ...duplicateModels(opts.services),
        ...opts.services.flatMap(modelKindMismatches),
    ];
}

function unknownTeams(service: ServiceDefinition, teams: Map<string, Limits>): ConfigurationProblem[] {
    const owner = teams.has(service.team)
        ? []
        : [problem(service, ["team"], `expected a defined team, but team "${service.team}" does not exist`)];
    const callers = (service.callableBy ?? [])
        .map((team, index) => ({ team, index }))
        .filter(caller => !teams.has(caller.team))
        .map(caller =>
            problem(
                service,
                ["callableBy", caller.index],
                `expected a defined team, but team "${caller.team}" does not exist`,
            )
        );
    return [...owner, ...callers];
}

function limitsOverQuota(service: ServiceDefinition, teams: Map<string, Limits>): ConfigurationProblem[] {
    const quota = teams.get(service.team) ?? {};
    return LIMIT_FIELDS
        .filter(field => (service.limits[field] ?? 0) > (quota[field] ?? Infinity))
        .map(field =>
            problem(
                service,
                ["limits", field],
                `expected at most the quota of team "${service.team}" (${String(quota[field])}), got ${
                    String(service.limits[field])
                }`,
            )
        );
}

function duplicateModels(services: readonly ServiceDefinition[]): ConfigurationProblem[] {
    const firstOffer = new Map<string, ServiceDefinition>();
    return services.flatMap(service =>
        service.models.flatMap((model, modelIndex) =>
            [
                { name: model.name as string, path: ["models", modelIndex, "name"] },
                ...model.adapters.map((adapter, index) => ({
                    name: adapter.name as string,
                    path: ["models", modelIndex, "adapters", index, "name"],
                })),
            ].flatMap(offer => {
                const earlier = firstOffer.get(offer.name);
                firstOffer.set(offer.name, earlier ?? service);
                return earlier === undefined
                    ? []
                    : [
                        problem(
                            service,
                            offer.path,
                            `model or adapter "${offer.name}" is already offered by service "${earlier.name}"`,
                        ),
                    ];
            })
        )
    );
}

function modelKindMismatches(service: ServiceDefinition): ConfigurationProblem[] {
    if (service.kind === "plain" && service.models.length > 0) {
        return [problem(service, ["models"], "expected no models for a service of kind plain")];
    }
    if (service.kind === "model-engine" && service.models.length === 0) {
        return [problem(service, ["models"], "expected at least one model for a service of kind model-engine")];
    }
    return [];
}

function problem(service: ServiceDefinition, path: (string | number)[], message: string): ConfigurationProblem {
    return { recordKey: `service/${service.name}`, path, message };
}
