import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { HttpStandin } from "@knapweedwood/standins.http/httpStandin";
import { readBody } from "@knapweedwood/standins.http/readBody";
import { readJson } from "@knapweedwood/standins.http/readJson";
import { sendJson } from "@knapweedwood/standins.http/sendJson";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import type { ServiceCallRecord } from "./serviceCallRecord.js";
import { ServiceFaults } from "./serviceFaults.js";
import type { ServiceFaultUpdate } from "./serviceFaultUpdate.js";

const ERROR_STATUS = 500;
const UNAVAILABLE_STATUS = 503;

/**
 * Stand-in for a plain service. It echoes calls and records each call that it ran.
 *
 * - `/stream`: runs the call, and sends the body back as it arrives
 * - `/status/CODE`: runs the call, and responds with that status
 * - `GET /__record`: returns the records of the calls
 * - `POST /__faults`: changes the faults
 * - any other path: runs the call, and responds with its method, path, headers and body as JSON
 */
export class ServiceServer {
    /** Records of the calls that ran, in order, shape [calls]. */
    readonly callRecords: ServiceCallRecord[] = [];
    private readonly clock: Clock;
    private readonly faults = new ServiceFaults();
    private readonly onExit: () => void;
    private readonly http: HttpStandin;
    private readonly closing = new AbortController();

    /** @param opts.onExit called instead of the exit of the process that `dieAfterNextCall` causes */
    constructor(opts: { clock: Clock; onExit?: () => void; }) {
        this.clock = opts.clock;
        this.onExit = opts.onExit ?? (() => process.exit(1));
        this.http = new HttpStandin({ handler: (request, response, url) => this.handle(request, response, url) });
    }

    /**
     * Starts to listen. Rejects if the address can't be bound.
     *
     * @returns the port
     */
    listen(opts: { host: string; port: number; }): Promise<number> {
        return this.http.listen(opts);
    }

    close(): Promise<void> {
        this.closing.abort();
        return this.http.close();
    }

    /** Changes the faults, as `POST /__faults` does. */
    applyFaults(update: ServiceFaultUpdate): void {
        this.faults.apply(update);
        if (update.silentConnections === true) {
            this.http.silenceOpenConnections();
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
        if (url.pathname === "/__record") {
            sendJson(response, 200, { calls: this.callRecords });
            return;
        }
        if (url.pathname === "/__faults") {
            this.applyFaults(await readJson<ServiceFaultUpdate>(request));
            sendJson(response, 200, {});
            return;
        }
        if (this.faults.delayMs > 0) {
            await sleep(this.clock, this.faults.delayMs, this.closing.signal);
        }
        if (this.faults.consumeRejection()) {
            sendJson(response, UNAVAILABLE_STATUS, { error: "The service is busy." });
            return;
        }
        await this.run(request, response, url);
    }

    private async run(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
        const record = this.recordCall(request, url);
        response.once("finish", () => {
            record.isAnswered = true;
        });
        if (url.pathname === "/stream") {
            await this.streamBack(request, response, record);
            return;
        }
        const body = await readBody(request);
        record.bodyDigest = createHash("sha256").update(body).digest("hex");
        record.bodySizeBytes = body.byteLength;
        if (this.loseResponse(request)) {
            return;
        }
        const echo = { method: request.method, path: record.path, headers: request.headers, body: body.toString() };
        sendJson(response, this.statusOf(url), { ...echo, sequenceNumber: record.sequenceNumber });
    }

    private recordCall(request: IncomingMessage, url: URL): ServiceCallRecord {
        const record: ServiceCallRecord = {
            sequenceNumber: this.callRecords.length,
            method: request.method ?? "GET",
            path: `${url.pathname}${url.search}`,
            idempotencyKey: headerOf(request, "idempotency-key"),
            marker: headerOf(request, "x-marker"),
            bodyDigest: "",
            bodySizeBytes: 0,
            startedMs: this.clock.nowMs(),
            isAnswered: false,
        };
        this.callRecords.push(record);
        return record;
    }

    private async streamBack(
        request: IncomingMessage,
        response: ServerResponse,
        record: ServiceCallRecord,
    ): Promise<void> {
        const hash = createHash("sha256");
        response.writeHead(200, { "content-type": request.headers["content-type"] ?? "application/octet-stream" });
        response.flushHeaders();
        request.on("data", (chunk: Buffer) => {
            hash.update(chunk);
            record.bodySizeBytes += chunk.byteLength;
        });
        await pipeline(request, response);
        record.bodyDigest = hash.digest("hex");
    }

    /** Applies a fault that prevents the response. Returns whether there was one. */
    private loseResponse(request: IncomingMessage): boolean {
        if (this.faults.dieAfterNextCall) {
            this.onExit();
            return true;
        }
        if (this.faults.consumeLostResponse()) {
            request.socket.destroy();
            return true;
        }
        return false;
    }

    private statusOf(url: URL): number {
        const requestedStatus = Number(/^\/status\/(\d{3})$/u.exec(url.pathname)?.[1] ?? 200);
        return this.faults.consumeError() ? ERROR_STATUS : requestedStatus;
    }
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}
