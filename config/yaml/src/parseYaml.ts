import { type Document, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import { offsetOf } from "./offsetOf.js";
import type { ParsedYaml } from "./parsedYaml.js";
import type { YamlProblem } from "./yamlProblem.js";

/** Limits how far nested aliases can expand a file. */
const MAX_ALIASES = 100;

/**
 * Parses YAML text and validates it against a schema.
 *
 * @param opts.file file name used in the problems
 * @returns the parsed value, or every problem found, each with its line
 */
export function parseYaml<Schema extends z.ZodType>(
    opts: { file: string; text: string; schema: Schema; },
): ParsedYaml<z.output<Schema>> {
    const lineCounter = new LineCounter();
    const document = parseDocument(opts.text, { lineCounter, prettyErrors: false });
    const problemAt = (path: readonly PropertyKey[], expected: string): YamlProblem => ({
        file: opts.file,
        line: lineCounter.linePos(offsetOf(document, path)).line,
        path: formatPath(path),
        expected,
    });
    if (document.errors.length > 0) {
        const problems = document.errors.map(error => ({
            file: opts.file,
            line: lineCounter.linePos(error.pos[0]).line,
            path: "",
            expected: `valid YAML: ${error.message}`,
        }));
        return { value: undefined, problems, problemAt };
    }
    const content = toPlainValue(document);
    if (content instanceof Error) {
        return { value: undefined, problems: [problemAt([], `valid YAML: ${content.message}`)], problemAt };
    }
    const checked = opts.schema.safeParse(content);
    return checked.success
        ? { value: checked.data, problems: [], problemAt }
        : {
            value: undefined,
            problems: checked.error.issues.flatMap(issue => problemsOf(issue, problemAt)),
            problemAt,
        };
}

function toPlainValue(document: Document): unknown {
    try {
        return document.toJS({ maxAliasCount: MAX_ALIASES }) ?? {};
    }
    catch (thrown) {
        return thrown instanceof Error ? thrown : new Error(String(thrown));
    }
}

function problemsOf(issue: z.core.$ZodIssue, problemAt: ParsedYaml<unknown>["problemAt"]): YamlProblem[] {
    return issue.code === "unrecognized_keys"
        ? issue.keys.map(key => problemAt([...issue.path, key], "unknown field"))
        : [problemAt(issue.path, issue.message)];
}

function formatPath(path: readonly PropertyKey[]): string {
    return path
        .map(part => typeof part === "number" ? `[${String(part)}]` : `.${String(part)}`)
        .join("")
        .replace(/^\./, "");
}
