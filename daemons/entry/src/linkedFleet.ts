import type { FleetInstance } from "@knapweedwood/api.operators/fleetInstance";
import type { FleetUpstream } from "@knapweedwood/api.operators/fleetUpstream";
import type { FleetView } from "@knapweedwood/api.operators/fleetView";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { InstanceWatcher } from "@knapweedwood/routing.instance-watch/instanceWatcher";
import type { LinkedSide } from "./linkedSide.js";
import type { SideDirectory } from "./sideDirectory.js";

/** The fleet as seen by this entry, from the instance list and its links. */
export class LinkedFleet implements FleetView {
    private readonly opts: { watcher: InstanceWatcher; endpoint: LinkEndpoint; directory: SideDirectory; };

    constructor(opts: LinkedFleet["opts"]) {
        this.opts = opts;
    }

    instances(): Promise<FleetInstance[]> {
        const links = this.opts.endpoint.links();
        const instances = this.opts.watcher.current().map(record => ({
            ...record,
            linkState: links.find(link => link.peer?.instanceId === record.instanceId)?.state,
        }));
        return Promise.resolve(instances);
    }

    upstreams(): Promise<FleetUpstream[]> {
        return Promise.resolve(this.opts.directory.linkedSides().map(toUpstream));
    }
}

function toUpstream({ record, status }: LinkedSide): FleetUpstream {
    return {
        instanceId: record.instanceId,
        service: status?.service ?? record.service ?? "" as FleetUpstream["service"],
        zone: record.zone,
        state: status?.state === "leaving" ? "leaving" : record.state,
        isHealthy: status?.isHealthy ?? false,
        models: status?.models ?? [],
        role: status?.role ?? "any",
        onlineRunning: status?.onlineRunning ?? 0,
        onlineQueued: status?.onlineQueued ?? 0,
        batchRunning: status?.batchRunning ?? 0,
        batchQueued: status?.batchQueued ?? 0,
    };
}
