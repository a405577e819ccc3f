import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** Work that waits for each role of a service, in the same unit for both. */
export interface RoleDemand {
    service: ServiceName;
    prefill: number;
    decode: number;
}
