import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** Record of one instance in the platform's instance list. */
export interface InstanceRecord {
    instanceId: InstanceId;
    kind: "entry" | "side" | "upstream";
    region: RegionName;
    zone: ZoneName;
    /** Address that accepts links (entry, side) or HTTP calls (upstream without a side), as `host:port`. */
    address: string;
    state: "live" | "leaving";
    /** Service of the upstream, or of the upstream that the side runs next to; undefined for an entry. */
    service: ServiceName | undefined;
    /** Whether the instance has a data folder. */
    hasDataFolder: boolean;
}
