import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { FleetSnapshot } from "./fleetSnapshot.js";
import type { FleetSnapshotRequest } from "./fleetSnapshotRequest.js";

/**
 * Returns what a runner knows of the fleet, to processes that can't read it from the key-value service; nothing if it
 * knows nothing that was asked for.
 */
export const fleetSnapshotCall = defineCall<FleetSnapshotRequest, { snapshot?: FleetSnapshot; }>("fleet.snapshot");
