import { checkConfiguration } from "@knapweedwood/config.configuration/checkConfiguration";
import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { YamlProblem } from "@knapweedwood/config.yaml/yamlProblem";
import type { ParsedServiceFile } from "./parsedServiceFile.js";
import { parseServiceFile } from "./parseServiceFile.js";
import type { ServiceFile } from "./serviceFile.js";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";
import type { ServiceFilesResult } from "./serviceFilesResult.js";

interface Definition {
    recordKey: string;
    parsed: ParsedServiceFile;
    path: [string, number];
}

/**
 * Parses service files and checks them together. The rules that involve several definitions are only checked if each
 * file is valid and nothing is defined twice.
 *
 * @param opts.current the active configuration; the files may refer to its services and teams
 * @returns the definitions and every problem found
 */
export function parseServiceFiles(
    files: readonly ServiceFile[],
    opts: { current?: ConfigurationView | undefined; } = {},
): ServiceFilesResult {
    const parsedFiles = files.map(parseServiceFile);
    const definitionsList = parsedFiles.flatMap(definitionsOf);
    const definitions = {
        services: parsedFiles.flatMap(parsed => parsed.definitions.services),
        teams: parsedFiles.flatMap(parsed => parsed.definitions.teams),
    };
    const ownProblems = [...parsedFiles.flatMap(parsed => parsed.problems), ...duplicateDefinitions(definitionsList)];
    const problems = ownProblems.length > 0
        ? ownProblems
        : crossFileProblems(definitions, definitionsList, opts.current);
    return { definitions, problems };
}

function definitionsOf(parsed: ParsedServiceFile): Definition[] {
    return [
        ...parsed.definitions.services.map((service, index): Definition => ({
            recordKey: `service/${service.name}`,
            parsed,
            path: ["services", index],
        })),
        ...parsed.definitions.teams.map((team, index): Definition => ({
            recordKey: `team/${team.teamId}`,
            parsed,
            path: ["teams", index],
        })),
    ];
}

function duplicateDefinitions(definitions: Definition[]): YamlProblem[] {
    const first = new Map<string, Definition>();
    return definitions.flatMap(definition => {
        const earlier = first.get(definition.recordKey);
        if (earlier === undefined) {
            first.set(definition.recordKey, definition);
            return [];
        }
        const earlierPosition = earlier.parsed.problemAt(earlier.path, "");
        return [definition.parsed.problemAt(
            definition.path,
            `${definition.recordKey} is already defined at ${earlierPosition.file}:${String(earlierPosition.line)}`,
        )];
    });
}

function crossFileProblems(
    definitions: ServiceFileDefinitions,
    definitionsList: Definition[],
    current: ConfigurationView | undefined,
): YamlProblem[] {
    const byKey = new Map(definitionsList.map(definition => [definition.recordKey, definition]));
    const merged = {
        services: [
            ...(current?.services() ?? []).filter(service => !byKey.has(`service/${service.name}`)),
            ...definitions.services,
        ],
        teams: [
            ...(current?.teams() ?? []).filter(team => !byKey.has(`team/${team.teamId}`)),
            ...definitions.teams,
        ],
    };
    return checkConfiguration(merged).map(problem => {
        const definition = byKey.get(problem.recordKey);
        return definition === undefined
            ? { file: problem.recordKey, line: 0, path: problem.path.join("."), expected: problem.message }
            : definition.parsed.problemAt([...definition.path, ...problem.path], problem.message);
    });
}
