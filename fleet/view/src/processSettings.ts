import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { HostPort } from "./hostPort.js";

/** What a process is told about itself at its start. */
export interface ProcessSettings {
    instanceName: InstanceName;
    zone: ZoneName;
    region: RegionName;
    /** Address of this instance, for all that the process listens on. */
    host: string;
    /** Where callers connect; undefined where this process serves none. */
    callersAddress: HostPort | undefined;
    /** Where the balancer asks for readiness; undefined where this process serves no callers. */
    readinessAddress: HostPort | undefined;
    /** Ports for traffic between processes of the fleet, shape [ports]. */
    peerPorts: number[];
    /** Address of the key-value service. */
    keyValueAddress: HostPort;
    /** Shortest time to live that the key-value service grants a lease. */
    minLeaseMs: number;
    /** Folder for data on this instance's disk; undefined where it has none. */
    dataFolder: string | undefined;
    /** Instances with disks that may be lost at the same time. */
    tolerableLosses: number;
    /** Time that a process has between SIGTERM and SIGKILL. */
    stopGraceMs: number;
    /** How long the results of an ended job stay readable. */
    resultRetentionMs: number;
}
