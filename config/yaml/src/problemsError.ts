import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { Problem } from "./problem.js";

/** One error that names every problem, a line each. */
export function problemsError(code: string, problems: Problem[]): KnapweedError {
    const lines = problems.map(({ file, line, path, expected }) =>
        `${file}:${line}: ${path === "" ? "" : `${path}: `}${expected}`
    );
    return new KnapweedError(code, lines.join("\n"), { statusCode: 400, outcome: "not-run" });
}
