import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { TeamUsage } from "./teamUsage.js";

/** The usage that a gateway has reported. */
export interface GatewayUsage {
    instanceName: InstanceName;
    /** Start of the process, Unix ms. Its counts start again with it. */
    startedAtMs: number;
    /** Increases with each report since the start. */
    sequence: number;
    teamUsage: TeamUsage;
}
