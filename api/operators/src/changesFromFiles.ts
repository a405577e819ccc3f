import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { ConfigurationChange } from "@knapweedwood/config.publishing/configurationChange";
import { parseServiceFiles } from "@knapweedwood/config.service-files/parseServiceFiles";
import type { ServiceFile } from "@knapweedwood/config.service-files/serviceFile";
import type { YamlProblem } from "@knapweedwood/config.yaml/yamlProblem";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { canManageTeam } from "./canManageTeam.js";
import { forbidden } from "./forbidden.js";
import type { OperatorCaller } from "./operatorCaller.js";

/**
 * Returns the configuration changes that service files define. Throws `SERVICE_FILES_INVALID` (400) with every problem,
 * or `ROLE_FORBIDDEN` (403).
 */
export function changesFromFiles(
    opts: { files: ServiceFile[]; current: ConfigurationView | undefined; caller: OperatorCaller; },
): ConfigurationChange[] {
    const { definitions, problems } = parseServiceFiles(opts.files, { current: opts.current });
    if (problems.length > 0) {
        throw invalidFiles(problems);
    }
    if (opts.caller.role !== "platform-operator") {
        requireOwnServices(definitions.services, opts);
        if (definitions.teams.length > 0) {
            throw forbidden("Only platform operators may publish teams");
        }
    }
    return [
        ...definitions.services.map(service => ({
            kind: "put" as const,
            record: { kind: "service" as const, service },
        })),
        ...definitions.teams.map(team => ({ kind: "put" as const, record: { kind: "team" as const, team } })),
    ];
}

/** Throws if a team operator would move a service to another team or change a service of another team. */
function requireOwnServices(
    services: ServiceDefinition[],
    opts: { current: ConfigurationView | undefined; caller: OperatorCaller; },
): void {
    const foreignService = services.find(service => {
        const before = opts.current?.service(service.name);
        return !canManageTeam(opts.caller, service.team)
            || (before !== undefined && !canManageTeam(opts.caller, before.team));
    });
    if (foreignService !== undefined) {
        throw forbidden(`The service "${foreignService.name}" does not belong to team "${opts.caller.teamId}"`);
    }
}

function invalidFiles(problems: YamlProblem[]): KnapweedError {
    const lines = problems.map(problem =>
        `${problem.file}:${String(problem.line)}: ${problem.path}: ${problem.expected}`
    );
    return new KnapweedError("SERVICE_FILES_INVALID", lines.join("\n"), {
        statusCode: 400,
        outcome: "not-run",
        parameter: problems[0]?.path ?? "",
    });
}
