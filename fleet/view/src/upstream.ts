import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { HostPort } from "./hostPort.js";

/** An upstream as it announces itself. */
export interface Upstream {
    id: UpstreamId;
    service: ServiceName;
    address: HostPort;
    zone: ZoneName;
    /** Requests that it runs at the same time. */
    slots: number;
    state: "ready" | "draining";
    /** Start of the process, Unix ms; differs where an id is used again. */
    startedAtMs: number;
}
