import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";
import type { ProcessSettings } from "@knapweedwood/fleet.view/processSettings";

/** Returns the record with which a process that starts now announces itself to the fleet. */
export function createMemberRecord(settings: ProcessSettings, role: MemberRecord["role"]): MemberRecord {
    const { instanceName, zone, host, peerPorts } = settings;
    const [loadPort, linkPort, streamPort, suspicionPort] = peerPorts;
    return {
        instanceName,
        role,
        zone,
        host,
        loadPort: loadPort!,
        linkPort: linkPort!,
        streamPort: streamPort!,
        suspicionPort: suspicionPort!,
        startedAtMs: Date.now(),
    };
}
