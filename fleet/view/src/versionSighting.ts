import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";

/** The time at which a software version last ran a service, as far as is known. */
export interface VersionSighting {
    service: ServiceName;
    softwareVersion: SoftwareVersion;
    /** Unix ms. */
    atMs: number;
}
