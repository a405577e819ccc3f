import type { FleetInstance } from "./fleetInstance.js";
import type { FleetUpstream } from "./fleetUpstream.js";

/** Lists instances and upstreams, as seen from this process. */
export interface FleetView {
    instances(): Promise<FleetInstance[]>;
    upstreams(): Promise<FleetUpstream[]>;
}
