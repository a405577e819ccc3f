import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** Definition of a service in the operators' configuration. */
export interface ServiceDefinition {
    name: ServiceName;
    /** Connections that an upstream accepts from all processes together. */
    maxConnections: number;
}
