import type { SideStatus } from "@knapweedwood/daemons.inference/sideStatus";
import type { Link } from "@knapweedwood/links.calls/link";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

/** A side that this entry is linked to. */
export interface LinkedSide {
    record: InstanceRecord;
    link: Link;
    /** As the side last said; undefined until it has. */
    status: SideStatus | undefined;
    /** When the status arrived, in milliseconds. */
    statusReceivedAtMs: number;
    /** Calls that this entry has in progress there. */
    inFlightCalls: number;
    /** When the side was first seen, in milliseconds. */
    joinedAtMs: number;
}
