import type { ServerResponse } from "node:http";
import { sendJson } from "./sendJson.js";

/** Sends an error response in the format of the OpenAI API. */
export function sendError(response: ServerResponse, statusCode: number, code: string, message: string): void {
    const type = statusCode < 500 ? "invalid_request_error" : "server_error";
    sendJson(response, statusCode, { error: { message, type, param: null, code } });
}
