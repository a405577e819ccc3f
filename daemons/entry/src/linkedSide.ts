import type { SideStatus } from "@knapweedwood/daemons.inference/sideStatus";
import type { Link } from "@knapweedwood/links.calls/link";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

/** A side that this entry is linked to. */
export interface LinkedSide {
    record: InstanceRecord;
    link: Link;
    /** Status last received from the side; undefined before the first one. */
    status: SideStatus | undefined;
    /** When the status arrived, in milliseconds; 0 before the first one. */
    statusReceivedAtMs: number;
    /** Number of calls that this entry has in progress at the side. */
    inFlightCalls: number;
    /** When the side was first listed at its current address, in milliseconds. */
    joinedAtMs: number;
}
