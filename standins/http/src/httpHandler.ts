import type { IncomingMessage, ServerResponse } from "node:http";

/** Handles a request. If it rejects, the response has status 500, or is destroyed if its headers were sent already. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void>;
