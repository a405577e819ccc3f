import { parseYaml } from "@knapweedwood/config.yaml/parseYaml";
import { problemsError } from "@knapweedwood/config.yaml/problemsError";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { readFile } from "node:fs/promises";
import type { z } from "zod";

/**
 * Reads a settings file and validates it against `schema`. Rejects with `SETTINGS_UNREADABLE` if the file can't be
 * read. Rejects with `SETTINGS_INVALID`, which lists every problem, if the content does not match the schema.
 */
export async function readSettings<Schema extends z.ZodType>(file: string, schema: Schema): Promise<z.output<Schema>> {
    const text = await readFile(file, "utf8").catch((cause: unknown) => {
        throw new KnapweedError("SETTINGS_UNREADABLE", `The settings file ${file} can't be read`, { cause });
    });
    const parsed = parseYaml({ file, text, schema });
    if (parsed.value === undefined) {
        throw problemsError("SETTINGS_INVALID", parsed.problems);
    }
    return parsed.value;
}
