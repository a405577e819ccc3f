import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { YamlProblem } from "./yamlProblem.js";

/** Returns an error whose message lists every problem, one per line. Its status code is 400, its outcome `not-run`. */
export function problemsError(code: string, problems: YamlProblem[]): KnapweedError {
    const lines = problems.map(({ file, line, path, expected }) =>
        `${file}:${line}: ${path === "" ? "" : `${path}: `}${expected}`
    );
    return new KnapweedError(code, lines.join("\n"), { statusCode: 400, outcome: "not-run" });
}
