import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** One instance, as the platform lists it. */
export interface InstanceRecord {
    instanceId: InstanceId;
    kind: "entry" | "side" | "upstream";
    region: RegionName;
    zone: ZoneName;
    /** Where links are accepted (entry, side) or HTTP calls (upstream without a side), as `host:port`. */
    address: string;
    state: "live" | "leaving";
    /** The service whose upstream this is or stands beside; undefined for an entry. */
    service: ServiceName | undefined;
    /** Whether the instance has a data folder. */
    hasDataFolder: boolean;
}
