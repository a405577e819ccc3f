import type { FleetSnapshot } from "@knapweedwood/fleet.sync/fleetSnapshot";
import type { FleetSnapshotRequest } from "@knapweedwood/fleet.sync/fleetSnapshotRequest";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";

/** Returns the part of a snapshot that a process asked for; undefined if it asked for what is newer than all of it. */
export function snapshotResponseOf(
    { configurationAfter }: FleetSnapshotRequest,
    snapshot: FleetSnapshot | undefined,
): FleetSnapshot | undefined {
    if (configurationAfter === undefined) {
        return snapshot;
    }
    const newer = (snapshot?.operators ?? []).filter(({ key, modRevision }) =>
        key === wireKeys.configuration && modRevision > configurationAfter
    );
    return newer.length === 0 ? undefined : { operators: newer, upstreams: [], fleet: [] };
}
