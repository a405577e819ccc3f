import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** What an entry knows of an upstream that offers the service. */
export interface UpstreamCandidate {
    instanceId: InstanceId;
    zone: ZoneName;
    /** A leaving upstream gets nothing new. */
    state: "live" | "leaving";
    /** State of the link to the upstream's side. */
    linkState: "connecting" | "open" | "suspect" | "closed";
    /** Online requests that run, as the gate itself counts them. */
    running: number;
    /** Online requests that wait in the gate. */
    queued: number;
    /** When the gate counted, by this process's clock, in milliseconds. */
    countedAtMs?: number | undefined;
    /** Requests that the upstream can run at once; relative weights suffice. */
    capacity?: number | undefined;
    role?: "any" | "prefill" | "decode" | undefined;
}
