import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";
import { parseYaml } from "@knapweedwood/config.yaml/parseYaml";
import type { z } from "zod";
import type { ParsedServiceFile } from "./parsedServiceFile.js";
import type { ServiceFile } from "./serviceFile.js";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";
import { serviceFileSchema } from "./serviceFileSchema.js";

/** Parses one service file and collects its problems. Rules that involve other definitions are not checked. */
export function parseServiceFile(file: ServiceFile): ParsedServiceFile {
    const { value, problems, problemAt } = parseYaml({ file: file.path, text: file.text, schema: serviceFileSchema });
    const definitions = value === undefined ? { services: [], teams: [] } : toDefinitions(value);
    return { definitions, problems, problemAt };
}

function toDefinitions(data: z.output<typeof serviceFileSchema>): ServiceFileDefinitions {
    const teams = data.teams.map(team => ({ ...team, displayName: team.displayName ?? team.teamId }));
    return {
        services: data.services as unknown as ServiceFileDefinitions["services"],
        teams: teams as unknown as Omit<TeamDefinition, "keys">[],
    };
}
