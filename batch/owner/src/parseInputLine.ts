import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { InputLine } from "./inputLine.js";

const MAX_CUSTOM_ID_LENGTH = 512;

/**
 * Parses one line of a batch input file. Throws a KnapweedError with code BATCH_LINE_INVALID that describes the fault.
 * The error's `parameter` is the code of the fault in the validation report.
 */
export function parseInputLine(text: string, endpoint: string): InputLine {
    const value = parseJson(text);
    if (!isJsonObject(value)) {
        throw invalidLineError("invalid_json_line", "The line is not a JSON object");
    }
    const { custom_id: customId, method, url, body } = value;
    if (typeof customId !== "string" || customId === "" || customId.length > MAX_CUSTOM_ID_LENGTH) {
        throw invalidLineError(
            "invalid_custom_id",
            `custom_id must be a string of 1 to ${MAX_CUSTOM_ID_LENGTH} characters`,
        );
    }
    if (method !== "POST") {
        throw invalidLineError("invalid_method", "method must be POST");
    }
    if (url !== endpoint) {
        throw invalidLineError("mismatched_url", `url must be the endpoint of the job, ${endpoint}`);
    }
    if (!isJsonObject(body)) {
        throw invalidLineError("invalid_body", "body must be a JSON object");
    }
    return { customId, url: endpoint, body };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        throw invalidLineError("invalid_json_line", "The line is not valid JSON");
    }
}

function isJsonObject(value: unknown): value is JsonObject {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function invalidLineError(parameter: string, message: string): KnapweedError {
    return new KnapweedError("BATCH_LINE_INVALID", message, { parameter, statusCode: 400, outcome: "not-run" });
}
