import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";

/** Which software versions have run the services, as a process has seen it, for processes that started later. */
export interface VersionRecord {
    /** Time up to now in which the process has received every change of the upstreams, in milliseconds. */
    coveredForMs: number;
    /** Versions with the time since each was last seen, 0 if it is listed now, shape [versions]. */
    versions: { service: ServiceName; softwareVersion: SoftwareVersion; seenAgoMs: number; }[];
}
