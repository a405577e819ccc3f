import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** Where an entry accepts links. */
export interface EntryAddress {
    instanceId: InstanceId;
    /** As `host:port`. */
    address: string;
}
