import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** What the owner of a partition needs to know of a service. */
export interface ServiceView {
    name: ServiceName;
    kind: "model-engine" | "plain";
    /** Whether a call may be run a second time after an unknown outcome. */
    repeatable: boolean;
}
