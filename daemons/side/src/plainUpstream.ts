import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { createHttpConnector } from "@knapweedwood/core.http-connections/createHttpConnector";
import { isValidStatusCode } from "@knapweedwood/core.http-connections/isValidStatusCode";
import { forwardableHeaders } from "@knapweedwood/core.http-headers/forwardableHeaders";
import type { PlainCallRequest } from "@knapweedwood/daemons.inference/plainCallRequest";
import type { PlainFrame } from "@knapweedwood/daemons.inference/plainFrame";
import { type Dispatcher, Pool } from "undici";

const CONNECT_TIMEOUT_MS = 2000;
const NOT_SENT_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Client of a plain service, over HTTP. Sends each call at most once. */
export class PlainUpstream {
    private readonly pool: Pool;

    constructor(opts: { url: string; }) {
        this.pool = new Pool(opts.url, {
            connect: createHttpConnector({ timeoutMs: CONNECT_TIMEOUT_MS }),
            pipelining: 1,
            headersTimeout: 0,
        });
    }

    /**
     * Sends a call and yields its response: the head, then the body. Throws `UPSTREAM_FAILED` if no response head
     * arrives or its status is none of HTTP, with outcome `not-run` if no connection was made and `unknown` otherwise. Throws `UPSTREAM_CUT`
     * (`unknown`) if the body ends early.
     */
    async *call(
        request: PlainCallRequest,
        opts: { body: AsyncIterable<Uint8Array> | Uint8Array | undefined; signal: AbortSignal; },
    ): AsyncIterable<PlainFrame> {
        const response = await this.send(request, opts);
        if (!isValidStatusCode(response.statusCode)) {
            response.body.on("error", () => undefined).destroy();
            throw new KnapweedError("UPSTREAM_FAILED", `The upstream's status ${response.statusCode} is none of HTTP`, {
                outcome: "unknown",
            });
        }
        yield {
            kind: "head",
            statusCode: response.statusCode,
            headers: forwardableHeaders(flattenHeaders(response.headers)),
        };
        try {
            for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
                yield { kind: "body", bytes };
            }
        }
        catch (cause) {
            throw new KnapweedError("UPSTREAM_CUT", "The upstream's response ended early", {
                outcome: "unknown",
                cause,
            });
        }
    }

    /** Returns whether the service's health check responds with a status below 500. Never rejects. */
    async isHealthy(): Promise<boolean> {
        try {
            const response = await this.pool.request({
                method: "GET",
                path: "/healthz",
                headersTimeout: CONNECT_TIMEOUT_MS,
            });
            await response.body.dump();
            return response.statusCode < 500;
        }
        catch {
            return false;
        }
    }

    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private async send(
        request: PlainCallRequest,
        opts: { body: AsyncIterable<Uint8Array> | Uint8Array | undefined; signal: AbortSignal; },
    ): Promise<Dispatcher.ResponseData> {
        try {
            return await this.pool.request({
                method: request.method as Dispatcher.HttpMethod,
                path: request.path,
                headers: request.headers.flatMap(field => [field.name, field.value]),
                body: opts.body as Dispatcher.DispatchOptions["body"],
                signal: opts.signal,
                idempotent: false,
            });
        }
        catch (cause) {
            const code = (cause as { code?: string; }).code ?? "";
            throw new KnapweedError("UPSTREAM_FAILED", `The call to the upstream failed: ${String(cause)}`, {
                outcome: NOT_SENT_CODES.has(code) ? "not-run" : "unknown",
                cause,
            });
        }
    }
}

function flattenHeaders(headers: Dispatcher.ResponseData["headers"]): string[] {
    return Object.entries(headers).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value ?? ""]).flatMap(single => [name, single])
    );
}
