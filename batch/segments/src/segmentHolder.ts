import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** An instance with a data folder. */
export interface SegmentHolder {
    instanceId: InstanceId;
    zone: ZoneName;
    /** Where it accepts links, as `host:port`. */
    address: string;
}
