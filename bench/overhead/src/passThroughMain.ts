import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";
import type { PassThroughSettings } from "./passThroughSettings.js";
import { readChildSettings } from "./readChildSettings.js";

// The baseline: forwards each request to an engine and its response to the caller, without any other processing.
const HOST = "127.0.0.1";
const BAD_GATEWAY_STATUS = 502;
const CONNECTIONS = 256;

const settings = readChildSettings<PassThroughSettings>();
const pools = settings.enginePorts.map(port => new Pool(`http://${HOST}:${port}`, { connections: CONNECTIONS }));
let requestCount = 0;

async function forwardRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    requestCount += 1;
    const engineResponse = await pools[requestCount % pools.length]!.request({
        method: "POST",
        path: request.url ?? "/",
        headers: { "content-type": "application/json" },
        body: request,
    });
    response.writeHead(engineResponse.statusCode, { "content-type": engineResponse.headers["content-type"] });
    await pipeline(engineResponse.body, response);
}

createServer((request, response) => {
    forwardRequest(request, response).catch(() => {
        response.statusCode = BAD_GATEWAY_STATUS;
        response.end();
    });
}).listen(settings.port, HOST);
