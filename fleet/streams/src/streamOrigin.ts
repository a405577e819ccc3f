import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";

/** What began a stream. Events of another service or of another software version don't continue it. */
export interface StreamOrigin {
    service: ServiceName;
    softwareVersion: SoftwareVersion;
}
