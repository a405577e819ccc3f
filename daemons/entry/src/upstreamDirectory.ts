import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SideStatus } from "@knapweedwood/daemons.inference/sideStatus";
import { sideStatusNotification } from "@knapweedwood/daemons.inference/sideStatusNotification";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import type { InstanceWatcher } from "@knapweedwood/routing.instance-watch/instanceWatcher";
import type { SideHandle } from "./sideHandle.js";

const UNLISTED_LINK_KEPT_MS = 10_000;

/** Which sides this entry may call: chosen from the instance list, kept current by what the sides say themselves. */
export class UpstreamDirectory {
    private readonly opts: {
        endpoint: LinkEndpoint;
        clock: Clock;
        watcher: InstanceWatcher;
        /** The sides that this entry links to, out of those listed. */
        selectSubset: (records: InstanceRecord[]) => InstanceRecord[];
    };
    private readonly sides = new Map<InstanceId, SideHandle>();
    private readonly lastListedMs = new Map<InstanceId, number>();

    constructor(opts: UpstreamDirectory["opts"]) {
        this.opts = opts;
        opts.endpoint.handleNotification(sideStatusNotification, status => this.takeStatus(status));
        opts.watcher.subscribe(records => this.takeList(records));
    }

    /** Sides of a service that may be given new work, those with a suspect link included, shape [sides]. */
    candidates(service: ServiceName, model?: ModelName): SideHandle[] {
        return [...this.sides.values()].filter(side => isUsable(side, service, model));
    }

    /** All sides linked, shape [sides]. */
    all(): SideHandle[] {
        return [...this.sides.values()];
    }

    private takeStatus(status: SideStatus): void {
        const side = this.sides.get(status.instanceId);
        if (side !== undefined) {
            side.status = status;
            side.statusAtMs = this.opts.clock.nowMs();
        }
    }

    private takeList(records: InstanceRecord[]): void {
        const nowMs = this.opts.clock.nowMs();
        const chosen = this.opts.selectSubset(records.filter(record => record.kind === "side"));
        chosen.forEach(record => {
            this.lastListedMs.set(record.instanceId, nowMs);
            this.take(record, nowMs);
        });
        [...this.sides.values()]
            .filter(side => nowMs - (this.lastListedMs.get(side.record.instanceId) ?? 0) > UNLISTED_LINK_KEPT_MS)
            .filter(side => side.inFlight === 0)
            .forEach(side => this.drop(side));
    }

    private take(record: InstanceRecord, nowMs: number): void {
        const known = this.sides.get(record.instanceId);
        if (known?.record.address === record.address) {
            known.record = record;
            return;
        }
        known?.link.close();
        this.sides.set(record.instanceId, {
            record,
            link: this.opts.endpoint.connect(record.address),
            status: undefined,
            statusAtMs: 0,
            inFlight: 0,
            joinedAtMs: nowMs,
        });
    }

    private drop(side: SideHandle): void {
        side.link.close();
        this.sides.delete(side.record.instanceId);
        this.lastListedMs.delete(side.record.instanceId);
    }
}

function isUsable(side: SideHandle, service: ServiceName, model: ModelName | undefined): boolean {
    const { status } = side;
    return side.record.service === service
        && side.record.state === "live"
        && (side.link.state === "open" || side.link.state === "suspect")
        && status !== undefined
        && status.state === "live"
        && status.isHealthy
        && (model === undefined || status.models === undefined || status.models.includes(model));
}
