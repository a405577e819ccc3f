import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** A service as the operators define it. */
export interface ServiceDefinition {
    name: ServiceName;
    /** Connections that an upstream accepts from all processes together. */
    maxConnections: number;
}
