import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** The state of an upstream that offers the service, as observed by an entry. */
export interface UpstreamCandidate {
    instanceId: InstanceId;
    zone: ZoneName;
    /** A leaving upstream receives no new requests. */
    state: "live" | "leaving";
    /** State of the link to the upstream's side. */
    linkState: "connecting" | "open" | "suspect" | "closed";
    /** Number of running online requests, as counted by the gate itself. */
    running: number;
    /** Number of online requests queued in the gate. */
    queued: number;
    /** When the gate counted the requests, by this process's clock, in milliseconds. */
    countedAtMs?: number | undefined;
    /** Number of requests that the upstream can run at once; relative weights suffice. */
    capacity?: number | undefined;
    role?: "any" | "prefill" | "decode" | undefined;
}
