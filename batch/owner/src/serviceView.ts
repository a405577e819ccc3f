import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** The properties of a service that the owner of a partition uses. */
export interface ServiceView {
    name: ServiceName;
    kind: "model-engine" | "plain";
    /** Whether a call may be repeated after an unknown outcome. */
    repeatable: boolean;
}
