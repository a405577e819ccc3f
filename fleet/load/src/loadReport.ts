import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { UpstreamUsage } from "@knapweedwood/fleet.upstream-limits/upstreamUsage";
import type { MirrorVerifications } from "@knapweedwood/fleet.view/mirrorVerifications";
import type { UpstreamProcess } from "@knapweedwood/fleet.view/upstreamProcess";
import type { TeamUsage } from "@knapweedwood/routing.limits/teamUsage";
import type { UpstreamCount } from "./upstreamCount.js";
import type { UpstreamSpeed } from "./upstreamSpeed.js";

/** Report of a process to its peers: its load, and the revisions up to which it has followed the shared keys. */
export interface LoadReport {
    instanceName: InstanceName;
    /** Start of the process, Unix ms. Reports from before a restart are dropped. */
    startedAtMs: number;
    /** Increases with each report since the start. */
    sequence: number;
    /** Whether this process can reach the key-value service. */
    isKeyValueReachable: boolean;
    /** Upstreams with requests of this process, shape [upstreams]. */
    counts: UpstreamCount[];
    /** Upstreams ejected because of failures that this process has observed itself, shape [upstreams]. */
    ejected: UpstreamId[];
    /** Number of online requests waiting for a slot, shape [services]. */
    waiting: { service: ServiceName; count: number; }[];
    /** Revision of the key-value service at which the active configuration was written. */
    configurationRevision: number;
    /** Revision of the last change of an upstream's entry that this process has received. */
    upstreamsRevision: number;
    /** The process that runs jobs, in this process's local view; undefined if there is none. */
    leader: { instanceName: InstanceName; fencingNumber: number; } | undefined;
    /** Revision of the key-value service at which this process last wrote a job. */
    jobsRevision: number;
    /** Speeds that this process has observed itself and that differ from the mean, of upstreams in `counts`. */
    speeds?: UpstreamSpeed[];
    /** Requests of limited teams that this process has admitted. Only gateways admit requests. */
    teamUsage: TeamUsage;
    /** What this process knows and uses of upstreams' limits. */
    upstreamUsage: UpstreamUsage;
    /** Upstreams that have said in a response to this process a short time ago that they leave, shape [upstreams]. */
    leaving: UpstreamProcess[];
    /** What the key-value service said to this process a short time ago about the shared keys. */
    verifications?: MirrorVerifications;
}
