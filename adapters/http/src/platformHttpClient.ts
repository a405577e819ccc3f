import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { createHttpConnector } from "@knapweedwood/core.http-connections/createHttpConnector";
import { Pool } from "undici";
import type { HttpCall } from "./httpCall.js";
import type { HttpResponse } from "./httpResponse.js";
import { ResponseCollector } from "./responseCollector.js";

const CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_MAX_CONNECTIONS = 16;

/**
 * HTTP client for one platform service.
 *
 * `call` rejects with `PLATFORM_CALL_FAILED`. Its outcome is `not-run` if sending never started, `unknown` otherwise.
 * A timeout replaces the whole connection pool, because the other connections may have stopped responding as well.
 */
export class PlatformHttpClient {
    private readonly clock: Clock;
    private readonly baseUrl: string;
    private readonly maxConnections: number;
    private pool: Pool;

    constructor(opts: { clock: Clock; baseUrl: string; maxConnections?: number; }) {
        this.clock = opts.clock;
        this.baseUrl = opts.baseUrl;
        this.maxConnections = opts.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
        this.pool = this.createPool();
    }

    async call(call: HttpCall): Promise<HttpResponse> {
        try {
            return await this.attempt(call, false);
        }
        catch (error) {
            if (!call.repeatable) {
                throw error;
            }
            return this.attempt(call, toKnapweedError(error).outcome !== "not-run");
        }
    }

    async close(): Promise<void> {
        await this.pool.destroy();
    }

    /** @param mayHaveRun whether an earlier attempt of the same call may have reached the server */
    private async attempt(call: HttpCall, mayHaveRun: boolean): Promise<HttpResponse> {
        const collector = new ResponseCollector();
        const pool = this.pool;
        const timer = this.clock.setTimer(call.timeoutMs, () => {
            collector.abort(new Error(`No response within ${call.timeoutMs} ms.`));
            this.replacePool(pool);
        });
        try {
            this.dispatch(pool, call, collector);
            return await collector.response;
        }
        catch (error) {
            throw callError(call, collector.hasStarted || mayHaveRun, error);
        }
        finally {
            timer.cancel();
        }
    }

    private dispatch(pool: Pool, call: HttpCall, collector: ResponseCollector): void {
        const hasBody = call.body !== undefined;
        pool.dispatch({
            method: call.method,
            path: call.path,
            headers: hasBody ? { "content-type": "application/json" } : {},
            body: hasBody ? JSON.stringify(call.body) : undefined,
        }, collector);
    }

    private replacePool(pool: Pool): void {
        if (this.pool === pool) {
            this.pool = this.createPool();
            pool.close().catch(() => undefined);
        }
    }

    private createPool(): Pool {
        return new Pool(this.baseUrl, {
            connections: this.maxConnections,
            pipelining: 1,
            connect: createHttpConnector({ timeoutMs: CONNECT_TIMEOUT_MS }),
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }
}

function callError(call: HttpCall, mayHaveRun: boolean, cause: unknown): KnapweedError {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return new KnapweedError("PLATFORM_CALL_FAILED", `${call.method} ${call.path}: ${reason}`, {
        outcome: mayHaveRun ? "unknown" : "not-run",
        cause,
    });
}
