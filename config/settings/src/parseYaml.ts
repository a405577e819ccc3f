import { isNode, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import type { Problem } from "./problem.js";

/** Parses YAML and checks it by a schema. All problems are found at once, each with its line. */
export function parseYaml<Schema extends z.ZodType>(
    opts: { file: string; text: string; schema: Schema; },
): { value: z.output<Schema>; problems: []; } | { value: undefined; problems: Problem[]; } {
    const lineCounter = new LineCounter();
    const document = parseDocument(opts.text, { lineCounter });
    const syntaxProblems = document.errors.map(error => ({
        file: opts.file,
        line: lineCounter.linePos(error.pos[0]).line,
        path: "",
        expected: `valid YAML: ${error.message.split("\n")[0] ?? ""}`,
    }));
    if (syntaxProblems.length > 0) {
        return { value: undefined, problems: syntaxProblems };
    }
    const checked = opts.schema.safeParse(document.toJS() ?? {});
    if (checked.success) {
        return { value: checked.data, problems: [] };
    }
    const lineOf = (path: PropertyKey[]): number => {
        const node = deepestNode(document, path);
        return node === undefined ? 1 : lineCounter.linePos(node).line;
    };
    const problems = checked.error.issues.map(issue => ({
        file: opts.file,
        line: lineOf(issue.path),
        path: issue.path.map(String).join("."),
        expected: issue.message,
    }));
    return { value: undefined, problems };
}

/** Offset of the node at `path`, or of its nearest parent that is there. */
function deepestNode(document: ReturnType<typeof parseDocument>, path: PropertyKey[]): number | undefined {
    const node = document.getIn(path, true);
    if (isNode(node) && node.range) {
        return node.range[0];
    }
    return path.length === 0 ? undefined : deepestNode(document, path.slice(0, -1));
}
