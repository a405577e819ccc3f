import { callJson } from "@knapweedwood/adapters.http/callJson";
import type { HttpCall } from "@knapweedwood/adapters.http/httpCall";
import { PlatformHttpClient } from "@knapweedwood/adapters.http/platformHttpClient";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { InstanceList } from "./instanceList.js";
import type { InstanceRecord } from "./instanceRecord.js";

const DEFAULT_TIMEOUT_MS = 1000;
const PATH = "/v1/instances";

/** HTTP client of the instance list. Methods throw `INSTANCE_LIST_UNAVAILABLE` when a call fails. */
export class HttpInstanceList implements InstanceList {
    private readonly client: PlatformHttpClient;
    private readonly timeoutMs: number;

    constructor(opts: { baseUrl: string; clock?: Clock; timeoutMs?: number; }) {
        this.client = new PlatformHttpClient({ clock: opts.clock ?? new SystemClock(), baseUrl: opts.baseUrl });
        this.timeoutMs = opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    }

    async list(): Promise<InstanceRecord[]> {
        const response = await this.call<{ instances: InstanceRecord[]; }>({ method: "GET", path: PATH });
        return response.instances.map(record => ({ ...record, service: record.service ?? undefined }));
    }

    async announce(record: InstanceRecord): Promise<void> {
        await this.call({ method: "PUT", path: pathOf(record.instanceId), body: record });
    }

    async withdraw(instanceId: InstanceId): Promise<void> {
        await this.call({ method: "DELETE", path: pathOf(instanceId) });
    }

    close(): Promise<void> {
        return this.client.close();
    }

    private call<Value>(call: Pick<HttpCall, "method" | "path" | "body">): Promise<Value> {
        const request: HttpCall = { ...call, timeoutMs: this.timeoutMs, repeatable: true };
        return callJson<Value>(this.client, request, "INSTANCE_LIST_UNAVAILABLE");
    }
}

function pathOf(instanceId: InstanceId): string {
    return `${PATH}/${encodeURIComponent(instanceId)}`;
}
