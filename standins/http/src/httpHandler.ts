import type { IncomingMessage, ServerResponse } from "node:http";

/** Answers one request. What it throws is answered with status 500. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void>;
