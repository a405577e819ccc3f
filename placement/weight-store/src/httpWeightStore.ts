import { callJson } from "@knapweedwood/adapters.http/callJson";
import type { HttpCall } from "@knapweedwood/adapters.http/httpCall";
import { PlatformHttpClient } from "@knapweedwood/adapters.http/platformHttpClient";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { WeightLoadRequest } from "./weightLoadRequest.js";
import type { WeightLoadReservation } from "./weightLoadReservation.js";
import type { WeightStore } from "./weightStore.js";

const DEFAULT_TIMEOUT_MS = 2000;
const PATH = "/v1/reservations";

/** Calls the weight store over HTTP. */
export class HttpWeightStore implements WeightStore {
    private readonly client: PlatformHttpClient;
    private readonly timeoutMs: number;

    constructor(opts: { baseUrl: string; clock?: Clock; timeoutMs?: number; }) {
        this.client = new PlatformHttpClient({ clock: opts.clock ?? new SystemClock(), baseUrl: opts.baseUrl });
        this.timeoutMs = opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    }

    requestLoad(request: WeightLoadRequest): Promise<WeightLoadReservation> {
        return this.call<WeightLoadReservation>({ method: "POST", path: PATH, body: request, repeatable: false });
    }

    async cancelLoad(reservationId: string): Promise<void> {
        const path = `${PATH}/${encodeURIComponent(reservationId)}`;
        await this.call({ method: "DELETE", path, repeatable: true });
    }

    close(): Promise<void> {
        return this.client.close();
    }

    private call<Value>(call: Omit<HttpCall, "timeoutMs">): Promise<Value> {
        return callJson<Value>(this.client, { ...call, timeoutMs: this.timeoutMs }, "WEIGHT_STORE_UNAVAILABLE");
    }
}
