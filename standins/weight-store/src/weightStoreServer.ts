import type { Clock } from "@knapweedwood/core.clock/clock";
import type { WeightLoadRequest } from "@knapweedwood/placement.weight-store/weightLoadRequest";
import { HttpStandin } from "@knapweedwood/standins.http/httpStandin";
import { readJson } from "@knapweedwood/standins.http/readJson";
import { sendJson } from "@knapweedwood/standins.http/sendJson";
import type { IncomingMessage, ServerResponse } from "node:http";
import { MemoryWeightStore } from "./memoryWeightStore.js";
import type { WeightStoreFaultUpdate } from "./weightStoreFaultUpdate.js";

const PATH = "/v1/reservations";
const NOT_FOUND_STATUS = 404;
const UNAVAILABLE_STATUS = 503;

/** Stand-in server of the weight store: `/v1/reservations` and `POST /faults`. */
export class WeightStoreServer {
    readonly store: MemoryWeightStore;
    private readonly http: HttpStandin;

    constructor(opts: { clock: Clock; bytesPerS?: number; }) {
        this.store = new MemoryWeightStore(opts);
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
    applyFaults(update: WeightStoreFaultUpdate): void {
        this.store.outage = update.outage ?? this.store.outage;
        this.store.bytesPerS = update.bytesPerS ?? this.store.bytesPerS;
        if (update.silentConnections === true) {
            this.http.silenceOpenConnections();
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
        if (url.pathname === "/faults") {
            this.applyFaults(await readJson<WeightStoreFaultUpdate>(request));
            sendJson(response, 200, {});
            return;
        }
        if (this.store.outage) {
            sendJson(response, UNAVAILABLE_STATUS, { error: "The weight store is unavailable." });
            return;
        }
        if (request.method === "POST" && url.pathname === PATH) {
            sendJson(response, 200, await this.store.requestLoad(await readJson<WeightLoadRequest>(request)));
            return;
        }
        if (request.method === "DELETE" && url.pathname.startsWith(`${PATH}/`)) {
            await this.store.cancelLoad(decodeURIComponent(url.pathname.slice(PATH.length + 1)));
            sendJson(response, 200, {});
            return;
        }
        sendJson(response, NOT_FOUND_STATUS, { error: "Not found." });
    }
}
