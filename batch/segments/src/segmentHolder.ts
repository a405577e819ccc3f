import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** Instance that stores segments in a data folder. */
export interface SegmentHolder {
    instanceId: InstanceId;
    zone: ZoneName;
    /** Address at which it accepts links, as `host:port`. */
    address: string;
}
