import type { FleetInstance } from "./fleetInstance.js";
import type { FleetUpstream } from "./fleetUpstream.js";

/** The fleet, as this process sees it. */
export interface FleetView {
    instances(): Promise<FleetInstance[]>;
    upstreams(): Promise<FleetUpstream[]>;
}
