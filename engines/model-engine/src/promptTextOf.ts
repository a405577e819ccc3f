import type { JsonObject } from "./jsonObject.js";

/** Returns the whole prompt of a request as one string. Each chat message becomes one line with its role. */
export function promptTextOf(body: JsonObject): string {
    if (Array.isArray(body.messages)) {
        return (body.messages as JsonObject[])
            .map(message => `${String(message.role)}: ${contentTextOf(message.content)}\n`)
            .join("");
    }
    return Array.isArray(body.prompt) ? body.prompt.join("\n") : String(body.prompt ?? "");
}

function contentTextOf(content: unknown): string {
    if (!Array.isArray(content)) {
        return String(content ?? "");
    }
    return (content as JsonObject[]).map(part => String(part.text ?? "")).join("");
}
