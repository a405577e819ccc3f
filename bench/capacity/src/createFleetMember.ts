import { DistributedConfiguration } from "@knapweedwood/config.distribution/distributedConfiguration";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import { createBenchEndpoint } from "./createBenchEndpoint.js";
import type { FleetMember } from "./fleetMember.js";

/**
 * Creates a fleet member in this process that follows the configuration, and announces it in the instance list. The
 * caller starts its configuration.
 */
export async function createFleetMember(
    opts: {
        name: string;
        kind: "entry" | "side";
        keyValue: KeyValueService;
        instanceList: InstanceList;
        seed: number;
    },
): Promise<FleetMember> {
    const endpoint = createBenchEndpoint(opts.name, opts.kind);
    const address = await endpoint.listen();
    const { identity } = endpoint;
    const record: InstanceRecord = { ...identity, address, state: "live", service: undefined, hasDataFolder: false };
    await opts.instanceList.announce(record);
    const configuration = new DistributedConfiguration({
        identity,
        clock: new SystemClock(),
        random: new SeededRandom(opts.seed),
        keyValue: identity.kind === "entry" ? opts.keyValue : undefined,
        instanceList: opts.instanceList,
        endpoint,
        logger: silentLogger,
        metrics: silentMetrics,
    });
    return { endpoint, record, configuration };
}
