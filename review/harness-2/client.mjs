// Calls of clients, each on a connection of its own unless an agent is given.
import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { request as httpRequest } from "node:http";

export function newId() {
    return randomBytes(8).toString("hex");
}

/**
 * Sends a request. Resolves to its status (0 if the connection ended without a complete response), headers and body.
 *
 * @param opts.front address of the gateway
 */
export function call(opts) {
    const { front, method = "GET", path, headers = {}, body, timeoutMs = 5000, agent } = opts;
    const sentAtMs = Date.now();
    return new Promise(resolve => {
        const chunks = [];
        let head;
        let isDone = false;
        const finish = (status, error) => {
            if (!isDone) {
                isDone = true;
                const text = Buffer.concat(chunks).toString("utf8");
                resolve({ status, error, headers: head?.headers ?? {}, text, sentAtMs, endedAtMs: Date.now() });
            }
        };
        const request = httpRequest({
            host: front.host,
            port: front.port,
            method,
            path,
            agent: agent ?? false,
            timeout: timeoutMs,
            headers: {
                ...agent === undefined ? { connection: "close" } : {},
                ...body === undefined ? {} : { "content-length": Buffer.byteLength(body) },
                ...headers,
            },
        }, response => {
            head = response;
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => finish(response.complete ? response.statusCode : 0, "cut"));
            response.on("error", error => finish(0, error.message));
            response.on("aborted", () => finish(0, "cut"));
        });
        request.on("timeout", () => request.destroy(new Error("timeout")));
        request.on("error", error => finish(0, error.message));
        request.end(body);
    });
}

/** Submits a batch job with the given items. */
export function submitJob(front, { host, path, jobId, items }) {
    return call({
        front,
        method: "POST",
        path,
        headers: { host, "x-request-id": jobId, "content-type": "application/json" },
        body: JSON.stringify({ items }),
    });
}

export function itemOf(path, id = newId()) {
    return {
        id,
        path: `${path}${id.slice(0, 4)}`,
        headers: { "X-Model": "m", "X-Token-Counts": "40,40", "X-Prompt-Prefix": `${id.slice(0, 6)}:40` },
        body: Buffer.from(id).toString("base64"),
        tokenCount: 80,
    };
}

export function readJob(front, { host, jobId, after = 0 }) {
    return call({ front, path: `/api/lots/${jobId}?after=${after}`, headers: { host }, timeoutMs: 3000 });
}
