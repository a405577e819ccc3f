import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { HostPort } from "./hostPort.js";

/** Settings that a process receives when it starts. */
export interface ProcessSettings {
    instanceName: InstanceName;
    zone: ZoneName;
    region: RegionName;
    /** Address of this instance, on which the process listens. */
    host: string;
    /** Address on which callers connect; undefined if this process serves none. */
    callersAddress: HostPort | undefined;
    /** Address of the load balancer's readiness check; undefined if this process serves no callers. */
    readinessAddress: HostPort | undefined;
    /**
     * Ports for traffic between processes of the fleet, shape [ports]. The first is the UDP port for load reports, the
     * second the TCP port for links, the third the UDP port for messages about streams, the fourth that for suspicions of prompt parts.
     */
    peerPorts: number[];
    /** Hosts of some runners, known without the key-value service; they may be outdated, shape [runners]. */
    seedHosts: string[];
    /** Address of the key-value service. */
    keyValueAddress: HostPort;
    /** Shortest time to live that the key-value service grants a lease, in milliseconds. */
    minLeaseMs: number;
    /** Largest value that the key-value service takes, in bytes; undefined if it isn't known. */
    maxValueSizeBytes?: number | undefined;
    /** Folder for data on this instance's disk; undefined if the instance has no disk. */
    dataFolder: string | undefined;
    /** Number of instances with disks that may be lost at the same time. */
    tolerableLosses: number;
    /** Memory of this instance, in MB; undefined if it isn't known. */
    memoryMb: number | undefined;
    /** Time between SIGTERM and SIGKILL, in milliseconds. */
    stopGraceMs: number;
    /** Time for which an upstream serves requests after it has said that it leaves, in milliseconds. */
    upstreamDrainMs: number;
    /** Time after its acknowledgement in which a configuration has to take effect, in milliseconds. */
    configurationBoundMs: number;
    /** Time after the acknowledgement of a job's end in which the last of its items may begin, in milliseconds. */
    jobEndBoundMs: number;
    /** Time for which the results of an ended job stay readable, in milliseconds. */
    resultRetentionMs: number;
}
