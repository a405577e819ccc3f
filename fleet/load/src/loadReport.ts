import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { UpstreamCount } from "./upstreamCount.js";

/** What a process tells the others of its load and of how far it knows the keys that all follow. */
export interface LoadReport {
    instanceName: InstanceName;
    /** Start of the process, Unix ms; a report of an earlier start is dropped. */
    startedAtMs: number;
    /** Grows with each report of a start. */
    sequence: number;
    /** Whether the key-value service answers this process. */
    isKeyValueReachable: boolean;
    /** Upstreams with requests of this process, shape [upstreams]. */
    counts: UpstreamCount[];
    /** Upstreams that this process has ejected for what it has seen of them, shape [upstreams]. */
    ejected: UpstreamId[];
    /** Online requests that wait for a slot, shape [services]. */
    waiting: { service: ServiceName; count: number; }[];
    /** Revision of the key-value service at which the configuration in force was written. */
    configurationRevision: number;
    /** Revision of the last change of an upstream's entry that this process knows. */
    upstreamsRevision: number;
    /** The process that runs jobs, as far as this one knows; undefined where it knows none. */
    leader: { instanceName: InstanceName; fencingNumber: number; } | undefined;
    /** Revision of the key-value service up to which jobs were written by this process. */
    jobsRevision: number;
}
