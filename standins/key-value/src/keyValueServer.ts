import type { Clock } from "@knapweedwood/core.clock/clock";
import { HttpStandin } from "@knapweedwood/standins.http/httpStandin";
import { readJson } from "@knapweedwood/standins.http/readJson";
import { sendJson } from "@knapweedwood/standins.http/sendJson";
import type { IncomingMessage, ServerResponse } from "node:http";
import { etcdErrorResponse } from "./etcdErrorResponse.js";
import { EtcdGateway } from "./etcdGateway.js";
import { isResponseLost } from "./isResponseLost.js";
import type { KeyValueFaultUpdate } from "./keyValueFaultUpdate.js";
import { MemoryKeyValueService } from "./memoryKeyValueService.js";
import { streamWatch } from "./streamWatch.js";

const NOT_FOUND_STATUS = 404;

/**
 * Stand-in server of the key-value service: the etcd v3 JSON gateway, `POST /faults` to change faults, and
 * `GET /counters` for the numbers of calls so far.
 */
export class KeyValueServer {
    readonly service: MemoryKeyValueService;
    private readonly gateway: EtcdGateway;
    private readonly http: HttpStandin;

    constructor(opts: { clock: Clock; }) {
        this.service = new MemoryKeyValueService(opts);
        this.gateway = new EtcdGateway(this.service);
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

    /** Ends all watches, stops the server and closes its connections. */
    async close(): Promise<void> {
        this.service.close();
        await this.http.close();
    }

    /** Changes the faults, as `POST /faults` does. */
    applyFaults(update: KeyValueFaultUpdate): void {
        const faults = this.service.faults;
        faults.outage = update.outage ?? faults.outage;
        faults.delayMs = update.delayMs ?? faults.delayMs;
        faults.responseDelayMs = update.answerDelayMs ?? faults.responseDelayMs;
        if (update.loseAnswers !== undefined) {
            faults.loseNextResponses(update.loseAnswers);
        }
        if (update.lapseLease !== undefined) {
            faults.expireLease(update.lapseLease);
        }
        if (update.silentConnections === true) {
            this.http.silenceOpenConnections();
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
        if (url.pathname === "/counters") {
            sendJson(response, 200, this.service.counters);
            return;
        }
        if (url.pathname === "/faults") {
            this.applyFaults(await readJson<KeyValueFaultUpdate>(request));
            sendJson(response, 200, {});
            return;
        }
        if (url.pathname === "/v3/watch") {
            await streamWatch({ service: this.service, body: await readJson(request), response });
            return;
        }
        await this.handleCall(request, response, url.pathname);
    }

    private async handleCall(request: IncomingMessage, response: ServerResponse, path: string): Promise<void> {
        const call = this.gateway.callOf(path);
        if (call === undefined) {
            sendJson(response, NOT_FOUND_STATUS, { code: 5, message: "Not Found" });
            return;
        }
        try {
            sendJson(response, 200, await call(await readJson(request)));
        }
        catch (error) {
            if (isResponseLost(error)) {
                request.socket.destroy();
                return;
            }
            const errorResponse = etcdErrorResponse(error);
            sendJson(response, errorResponse.statusCode, errorResponse.error);
        }
    }
}
