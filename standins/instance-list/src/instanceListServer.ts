import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import { HttpStandin } from "@knapweedwood/standins.http/httpStandin";
import { readJson } from "@knapweedwood/standins.http/readJson";
import { sendJson } from "@knapweedwood/standins.http/sendJson";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { InstanceListFaultUpdate } from "./instanceListFaultUpdate.js";
import { MemoryInstanceList } from "./memoryInstanceList.js";

const PATH = "/v1/instances";
const NOT_FOUND_STATUS = 404;
const UNAVAILABLE_STATUS = 503;

/** Stand-in server of the instance list: `/v1/instances`, `POST /faults` and `GET /counters`. */
export class InstanceListServer {
    readonly list: MemoryInstanceList;
    private readonly counters = { reads: 0, writes: 0 };
    private readonly http: HttpStandin;
    private isUnavailable = false;

    constructor(opts: { clock: Clock; lagMs?: number; ttlMs?: number; }) {
        this.list = new MemoryInstanceList(opts);
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
        return this.http.close();
    }

    /** Changes the faults, as `POST /faults` does. */
    applyFaults(update: InstanceListFaultUpdate): void {
        this.isUnavailable = update.outage ?? this.isUnavailable;
        this.list.lagMs = update.lagMs ?? this.list.lagMs;
        this.list.ttlMs = update.ttlMs ?? this.list.ttlMs;
        if (update.silentConnections === true) {
            this.http.silenceOpenConnections();
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
        if (url.pathname === "/counters") {
            sendJson(response, 200, this.counters);
            return;
        }
        if (url.pathname === "/faults") {
            this.applyFaults(await readJson<InstanceListFaultUpdate>(request));
            sendJson(response, 200, {});
            return;
        }
        if (this.isUnavailable) {
            sendJson(response, UNAVAILABLE_STATUS, { error: "The instance list is unavailable." });
            return;
        }
        if (request.method === "GET" && url.pathname === PATH) {
            this.counters.reads += 1;
            sendJson(response, 200, { instances: await this.list.list() });
            return;
        }
        await this.handleChange(request, response, url);
    }

    private async handleChange(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
        const instanceId = decodeURIComponent(url.pathname.slice(PATH.length + 1)) as InstanceId;
        const isChange = request.method === "PUT" || request.method === "DELETE";
        if (!isChange || !url.pathname.startsWith(`${PATH}/`) || instanceId === "") {
            sendJson(response, NOT_FOUND_STATUS, { error: "Not found." });
            return;
        }
        this.counters.writes += 1;
        await (request.method === "PUT"
            ? this.list.announce({ ...await readJson<InstanceRecord>(request), instanceId })
            : this.list.withdraw(instanceId));
        sendJson(response, 200, {});
    }
}
