import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** Pending work for each role of a service, in the same unit for both roles. */
export interface RoleDemand {
    service: ServiceName;
    prefill: number;
    decode: number;
}
