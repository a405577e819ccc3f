import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";
import { type Document, isMap, isNode, isPair, isScalar, LineCounter, type Node, parseDocument } from "yaml";
import type { z } from "zod";
import type { ParsedServiceFile } from "./parsedServiceFile.js";
import type { ServiceFile } from "./serviceFile.js";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";
import type { ServiceFileProblem } from "./serviceFileProblem.js";
import { serviceFileSchema } from "./serviceFileSchema.js";

const MAX_ALIASES = 100;

/** Parses one file, gathering all that is wrong in it by itself. */
export function parseServiceFile(file: ServiceFile): ParsedServiceFile {
    const lineCounter = new LineCounter();
    const document = parseDocument(file.text, { lineCounter, prettyErrors: false });
    const problemAt = (path: readonly PropertyKey[], expected: string): ServiceFileProblem => ({
        file: file.path,
        line: lineCounter.linePos(offsetOf(document, path)).line,
        path: textOf(path),
        expected,
    });
    if (document.errors.length > 0) {
        const problems = document.errors.map(error => ({
            file: file.path,
            line: lineCounter.linePos(error.pos[0]).line,
            path: "",
            expected: `valid YAML: ${error.message}`,
        }));
        return { definitions: { services: [], teams: [] }, problems, problemAt };
    }
    const content = plainContent(document);
    if (content instanceof Error) {
        const problems = [problemAt([], `valid YAML: ${content.message}`)];
        return { definitions: { services: [], teams: [] }, problems, problemAt };
    }
    const parsed = serviceFileSchema.safeParse(content);
    return parsed.success
        ? { definitions: toDefinitions(parsed.data), problems: [], problemAt }
        : {
            definitions: { services: [], teams: [] },
            problems: parsed.error.issues.flatMap(issue => problemsOf(issue, problemAt)),
            problemAt,
        };
}

function plainContent(document: Document): unknown {
    try {
        return document.toJS({ maxAliasCount: MAX_ALIASES }) ?? {};
    }
    catch (thrown) {
        return thrown instanceof Error ? thrown : new Error(String(thrown));
    }
}

function problemsOf(issue: z.core.$ZodIssue, problemAt: ParsedServiceFile["problemAt"]): ServiceFileProblem[] {
    return issue.code === "unrecognized_keys"
        ? issue.keys.map(key => problemAt([...issue.path, key], "no such field; the field is unknown"))
        : [problemAt(issue.path, issue.message)];
}

function toDefinitions(data: z.output<typeof serviceFileSchema>): ServiceFileDefinitions {
    const teams = data.teams.map(team => ({ ...team, displayName: team.displayName ?? team.teamId }));
    return {
        services: data.services as unknown as ServiceFileDefinitions["services"],
        teams: teams as unknown as Omit<TeamDefinition, "keys">[],
    };
}

/** The offset of the node at `path`, of its key where it is a map entry, or of the nearest ancestor that exists. */
function offsetOf(document: Document, path: readonly PropertyKey[]): number {
    for (let length = path.length; length > 0; length -= 1) {
        const offset = keyOffset(document, path.slice(0, length)) ?? nodeOffset(document, path.slice(0, length));
        if (offset !== undefined) {
            return offset;
        }
    }
    return 0;
}

function keyOffset(document: Document, path: readonly PropertyKey[]): number | undefined {
    const parent = path.length === 1 ? document.contents : document.getIn(path.slice(0, -1), true);
    const name = path.at(-1);
    if (!isMap(parent)) {
        return undefined;
    }
    const pair = parent.items.find(item => isPair(item) && isScalar(item.key) && item.key.value === name);
    return isNode(pair?.key) ? (pair.key as Node).range?.[0] : undefined;
}

function nodeOffset(document: Document, path: readonly PropertyKey[]): number | undefined {
    const node = document.getIn(path, true);
    return isNode(node) ? node.range?.[0] : undefined;
}

function textOf(path: readonly PropertyKey[]): string {
    return path
        .map(part => typeof part === "number" ? `[${String(part)}]` : `.${String(part)}`)
        .join("")
        .replace(/^\./, "");
}
