import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** Stored description of a process of the fleet. Each process writes its own. */
export interface MemberRecord {
    instanceName: InstanceName;
    role: "gateway" | "runner";
    zone: ZoneName;
    host: string;
    /** UDP port for load reports. */
    loadPort: number;
    /** TCP port for links. */
    linkPort: number;
    /** UDP port for messages about streams; undefined if the process keeps no origins of streams. */
    streamPort?: number;
    /** UDP port for suspicions of requests and prompt parts; undefined if the process keeps none. */
    suspicionPort?: number;
    /** Start of the process, Unix ms. */
    startedAtMs: number;
}
