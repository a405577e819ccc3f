import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { FleetSnapshot } from "./fleetSnapshot.js";

/** Returns what a runner knows of the fleet, to processes that start during an outage; nothing if it knows nothing. */
export const fleetSnapshotCall = defineCall<Record<string, never>, { snapshot?: FleetSnapshot; }>("fleet.snapshot");
