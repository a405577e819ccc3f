import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { InputReport } from "./inputReport.js";
import { parseInputLine } from "./parseInputLine.js";

const MAX_ERRORS = 100;

/**
 * Validates each line of an input file while it is read; only the custom ids are kept in memory. Returns the number of
 * lines and at most MAX_ERRORS errors; an empty file is an error.
 */
export async function validateInput(lines: AsyncIterable<string>, endpoint: string): Promise<InputReport> {
    const customIds = new Set<string>();
    const errors: InputReport["errors"] = [];
    let itemCount = 0;
    for await (const text of lines) {
        itemCount += 1;
        const error = checkLine(text, endpoint, customIds);
        if (error !== undefined && errors.length < MAX_ERRORS) {
            errors.push({ ...error, line: itemCount });
        }
    }
    if (itemCount === 0) {
        errors.push({ code: "empty_file", message: "The input file has no lines" });
    }
    return { itemCount, errors };
}

function checkLine(
    text: string,
    endpoint: string,
    customIds: Set<string>,
): { code: string; message: string; } | undefined {
    try {
        const { customId } = parseInputLine(text, endpoint);
        if (customIds.has(customId)) {
            return { code: "duplicate_custom_id", message: `custom_id ${JSON.stringify(customId)} is not unique` };
        }
        customIds.add(customId);
        return undefined;
    }
    catch (thrownError) {
        const error = toKnapweedError(thrownError);
        return { code: error.parameter ?? "invalid_json_line", message: error.message };
    }
}
