import type { Revision } from "@knapweedwood/core.ids/revision";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import type { ActiveRevisionReport } from "./activeRevisionReport.js";
import type { MemberRevision } from "./memberRevision.js";
import { watchersOfZone } from "./watchersOfZone.js";
import { zoneStatusCall } from "./zoneStatusCall.js";

const STATUS_TIMEOUT_MS = 1_000;

/** Asks the watchers of each zone for the active revisions of the processes below them. */
export class ActiveRevisionQuery {
    private readonly identity: PeerIdentity;
    private readonly endpoint: LinkEndpoint;
    private readonly instanceList: InstanceList;
    private readonly logger: Logger;
    private readonly ownMembers: () => MemberRevision[];

    constructor(opts: {
        identity: PeerIdentity;
        endpoint: LinkEndpoint;
        instanceList: InstanceList;
        logger: Logger;
        ownMembers: () => MemberRevision[];
    }) {
        this.identity = opts.identity;
        this.endpoint = opts.endpoint;
        this.instanceList = opts.instanceList;
        this.logger = opts.logger;
        this.ownMembers = opts.ownMembers;
    }

    /**
     * Returns how many processes of the region have `revision` or a higher one active. Processes below a watcher that
     * does not respond may be reported as missing. Rejects if the instance list is unavailable.
     */
    async run(revision: Revision): Promise<ActiveRevisionReport> {
        const instances = (await this.instanceList.list())
            .filter(instance => instance.kind !== "upstream" && instance.region === this.identity.region);
        const responses = await Promise.all(this.watchersOf(instances).map(watcher => this.queryWatcher(watcher)));
        const revisions = new Map<string, Revision>();
        [...this.ownMembers(), ...responses.flat()].forEach(member =>
            revisions.set(
                member.instanceId,
                Math.max(member.revision, revisions.get(member.instanceId) ?? 0) as Revision,
            )
        );
        const expected = [...new Set([this.identity.instanceId, ...instances.map(instance => instance.instanceId)])];
        const missing = expected.filter(instanceId => (revisions.get(instanceId) ?? -1) < revision);
        return { revision, reached: expected.length - missing.length, total: expected.length, missing };
    }

    private watchersOf(instances: InstanceRecord[]): InstanceRecord[] {
        const zones = [...new Set(instances.map(instance => instance.zone))];
        const watchers = zones.flatMap(zone => watchersOfZone(zone, instances));
        return [...new Map(watchers.map(watcher => [watcher.instanceId, watcher])).values()]
            .filter(watcher => watcher.instanceId !== this.identity.instanceId);
    }

    private async queryWatcher(watcher: InstanceRecord): Promise<MemberRevision[]> {
        try {
            const link = this.endpoint.connect(watcher.address);
            const response = await singleFrame(link.call(zoneStatusCall, {}, { timeoutMs: STATUS_TIMEOUT_MS }));
            return response.members;
        }
        catch (thrown) {
            this.logger.debug("configuration-status-failed", { watcher: watcher.instanceId, error: String(thrown) });
            return [];
        }
    }
}
