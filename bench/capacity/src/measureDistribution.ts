import type { DistributedConfiguration } from "@knapweedwood/config.distribution/distributedConfiguration";
import { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import { MemoryInstanceList } from "@knapweedwood/standins.instance-list/memoryInstanceList";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { randomUUID } from "node:crypto";
import { CpuMeter } from "./cpuMeter.js";
import { createFleetMember } from "./createFleetMember.js";
import { createMeasurements } from "./createMeasurements.js";
import type { FleetMember } from "./fleetMember.js";
import type { Measurement } from "./measurement.js";
import { SocketMeter } from "./socketMeter.js";

const MS_PER_SECOND = 1_000;
const SETTLE_MS = 6_000;
const PUBLISH_COUNT = 10;
const PUBLISH_GAP_MS = 1_000;
const ENTRY_SHARE = 0.2;
const ADOPTION_TIMEOUT_MS = 20_000;
const CONDITIONS =
    "members of one zone in one operating-system process, a fifth of them entries, links on loopback, publishes one second apart";

interface DistributionPoint {
    members: number;
    cpuMsPerSecond: number;
    sentBytesPerSecond: number;
    keyValueCallsPerSecond: number;
    cpuMsPerPublish: number;
    sentBytesPerPublish: number;
    adoptionP99Ms: number;
}

interface Zone {
    clock: SystemClock;
    keyValue: MemoryKeyValueService;
    endpoints: WebSocketLinkEndpoint[];
    configurations: DistributedConfiguration[];
}

/** Measures the cost of distributing configurations by the size of a zone, without publishes and for each publish. */
export async function measureDistribution(opts: { sizes: number[]; durationMs: number; }): Promise<Measurement[]> {
    const points: DistributionPoint[] = [];
    for (const members of opts.sizes) {
        points.push(await measurePoint(members, opts.durationMs));
    }
    return createMeasurements({
        sizeUnit: "processes of a zone",
        conditions: CONDITIONS,
        points,
        sizeOf: point => point.members,
        quantities: [
            { name: "distribution.cpu", unit: "ms/s a process", value: p => p.cpuMsPerSecond },
            { name: "distribution.sent", unit: "B/s a process", value: p => p.sentBytesPerSecond },
            { name: "distribution.calls", unit: "calls/s a zone", value: p => p.keyValueCallsPerSecond },
            { name: "distribution.publish-cpu", unit: "ms a process and publish", value: p => p.cpuMsPerPublish },
            { name: "distribution.publish-sent", unit: "B a process and publish", value: p => p.sentBytesPerPublish },
            { name: "distribution.in-force-p99", unit: "ms", value: p => p.adoptionP99Ms },
        ],
    });
}

async function measurePoint(members: number, durationMs: number): Promise<DistributionPoint> {
    const sockets = new SocketMeter();
    const zone = await startZone(members);
    const publisher = new ConfigurationPublisher({ ...zone, createChangeId: randomUUID });
    await publishOnce(zone, publisher, 0);
    await sleep(zone.clock, SETTLE_MS);
    const idle = await measureWhile(zone, sockets, () => sleep(zone.clock, durationMs));
    const latenciesMs: number[] = [];
    const publishing = await measureWhile(zone, sockets, async () => {
        for (let n = 1; n <= PUBLISH_COUNT; n += 1) {
            latenciesMs.push(await publishOnce(zone, publisher, n));
            await sleep(zone.clock, PUBLISH_GAP_MS);
        }
    });
    await Promise.all(zone.configurations.map(configuration => configuration.stop()));
    await Promise.all(zone.endpoints.map(endpoint => endpoint.close(0)));
    zone.keyValue.close();
    sockets.stop();
    const addedPerPublish = (perSecond: (point: typeof idle) => number) =>
        Math.max(0, perSecond(publishing) - perSecond(idle)) * publishing.seconds / PUBLISH_COUNT / members;
    return {
        members,
        cpuMsPerSecond: idle.cpuMsPerSecond / members,
        sentBytesPerSecond: idle.sentBytesPerSecond / members,
        keyValueCallsPerSecond: idle.callsPerSecond,
        cpuMsPerPublish: addedPerPublish(point => point.cpuMsPerSecond),
        sentBytesPerPublish: addedPerPublish(point => point.sentBytesPerSecond),
        adoptionP99Ms: latenciesMs.sort((a, b) => a - b).at(-1) ?? 0,
    };
}

async function startZone(members: number): Promise<Zone> {
    const clock = new SystemClock();
    const keyValue = new MemoryKeyValueService({ clock });
    const instanceList = new MemoryInstanceList({ clock, lagMs: 0, ttlMs: Number.MAX_SAFE_INTEGER });
    const entryCount = Math.max(2, Math.round(members * ENTRY_SHARE));
    const created: FleetMember[] = [];
    for (let n = 0; n < members; n += 1) {
        const kind = n < entryCount ? "entry" : "side";
        created.push(await createFleetMember({ name: `member-${n}`, kind, keyValue, instanceList, seed: n }));
    }
    const endpoints = created.map(member => member.endpoint);
    const configurations = created.map(member => member.configuration);
    await Promise.all(configurations.map(configuration => configuration.start()));
    return { clock, keyValue, endpoints, configurations };
}

/** Publishes a team. @returns the time from the acceptance until all members adopt the revision, in milliseconds */
async function publishOnce(zone: Zone, publisher: ConfigurationPublisher, n: number): Promise<number> {
    const teamId = `team-${n}` as never;
    const team = { teamId, displayName: `Team ${n}`, weight: 1, limits: { requestsPerSecond: 10 } };
    const { revision } = await publisher.publish({
        actor: "bench",
        changes: [{ kind: "put", record: { kind: "team", team } }],
    });
    const acceptedAtMs = zone.clock.nowMs();
    await Promise.all(
        zone.configurations.map(configuration =>
            configuration.waitFor(revision as Revision, { timeoutMs: ADOPTION_TIMEOUT_MS })
        ),
    );
    return zone.clock.nowMs() - acceptedAtMs;
}

async function measureWhile(zone: Zone, sockets: SocketMeter, action: () => Promise<void>) {
    const calls = () => zone.keyValue.counters.reads + zone.keyValue.counters.writes;
    const [callsBefore, sentBefore, startedAtMs] = [calls(), sockets.readSentBytes(), zone.clock.nowMs()];
    const cpu = new CpuMeter();
    await action();
    const seconds = (zone.clock.nowMs() - startedAtMs) / MS_PER_SECOND;
    return {
        seconds,
        cpuMsPerSecond: cpu.readMs() / seconds,
        sentBytesPerSecond: (sockets.readSentBytes() - sentBefore) / seconds,
        callsPerSecond: (calls() - callsBefore) / seconds,
    };
}
