import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SideStatus } from "@knapweedwood/daemons.inference/sideStatus";
import { sideStatusNotification } from "@knapweedwood/daemons.inference/sideStatusNotification";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import type { InstanceWatcher } from "@knapweedwood/routing.instance-watch/instanceWatcher";
import type { LinkedSide } from "./linkedSide.js";

const UNLISTED_LINK_RETENTION_MS = 10_000;

/** Tracks the sides that this entry may call, from the instance list and from the status reports of the sides. */
export class SideDirectory {
    private readonly opts: {
        endpoint: LinkEndpoint;
        clock: Clock;
        watcher: InstanceWatcher;
        /** Returns the sides that this entry links to, out of the listed sides. Shape [sides] to [linked]. */
        selectSubset: (records: InstanceRecord[]) => InstanceRecord[];
    };
    private readonly sides = new Map<InstanceId, LinkedSide>();
    private readonly lastListedAtMs = new Map<InstanceId, number>();

    constructor(opts: SideDirectory["opts"]) {
        this.opts = opts;
        opts.endpoint.handleNotification(sideStatusNotification, status => this.applyStatus(status));
        opts.watcher.subscribe(records => this.applyInstanceList(records));
    }

    /** Returns the sides of a service that accept new calls, shape [sides]. Includes sides whose link is suspect. */
    candidates(service: ServiceName, model?: ModelName): LinkedSide[] {
        return [...this.sides.values()].filter(side => acceptsNewCalls(side, service, model));
    }

    /** Returns all sides that this entry has a link to, shape [sides]. */
    linkedSides(): LinkedSide[] {
        return [...this.sides.values()];
    }

    private applyStatus(status: SideStatus): void {
        const side = this.sides.get(status.instanceId);
        if (side !== undefined) {
            side.status = status;
            side.statusReceivedAtMs = this.opts.clock.nowMs();
        }
    }

    private applyInstanceList(records: InstanceRecord[]): void {
        const nowMs = this.opts.clock.nowMs();
        const selected = this.opts.selectSubset(records.filter(record => record.kind === "side"));
        selected.forEach(record => {
            this.lastListedAtMs.set(record.instanceId, nowMs);
            this.addOrUpdate(record, nowMs);
        });
        [...this.sides.values()]
            .filter(side => nowMs - (this.lastListedAtMs.get(side.record.instanceId) ?? 0) > UNLISTED_LINK_RETENTION_MS)
            .filter(side => side.inFlightCalls === 0)
            .forEach(side => this.remove(side));
    }

    private addOrUpdate(record: InstanceRecord, nowMs: number): void {
        const existing = this.sides.get(record.instanceId);
        if (existing?.record.address === record.address) {
            existing.record = record;
            return;
        }
        existing?.link.close();
        this.sides.set(record.instanceId, {
            record,
            link: this.opts.endpoint.connect(record.address),
            status: undefined,
            statusReceivedAtMs: 0,
            inFlightCalls: 0,
            joinedAtMs: nowMs,
        });
    }

    private remove(side: LinkedSide): void {
        side.link.close();
        this.sides.delete(side.record.instanceId);
        this.lastListedAtMs.delete(side.record.instanceId);
    }
}

function acceptsNewCalls(side: LinkedSide, service: ServiceName, model: ModelName | undefined): boolean {
    const { status } = side;
    return side.record.service === service
        && side.record.state === "live"
        && (side.link.state === "open" || side.link.state === "suspect")
        && status !== undefined
        && status.state === "live"
        && status.isHealthy
        && (model === undefined || status.models === undefined || status.models.includes(model));
}
