import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** The address at which an entry accepts links. */
export interface EntryAddress {
    instanceId: InstanceId;
    /** As `host:port`. */
    address: string;
}
