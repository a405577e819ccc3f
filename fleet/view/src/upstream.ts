import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { HostPort } from "./hostPort.js";

/** An upstream with the properties that it announces. */
export interface Upstream {
    id: UpstreamId;
    service: ServiceName;
    address: HostPort;
    zone: ZoneName;
    softwareVersion: SoftwareVersion;
    /** Number of requests that it runs at the same time. */
    slots: number;
    state: "ready" | "draining";
    /** Start of the process, Unix ms. Distinguishes processes that reuse an id. */
    startedAtMs: number;
}
