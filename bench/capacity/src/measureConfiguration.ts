import { ActiveConfiguration } from "@knapweedwood/config.distribution/activeConfiguration";
import type { ChunkSource } from "@knapweedwood/config.publishing/chunkSource";
import type { ConfigurationChange } from "@knapweedwood/config.publishing/configurationChange";
import { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { ConfigurationStore } from "@knapweedwood/config.publishing/configurationStore";
import type { ConfigurationTree } from "@knapweedwood/config.publishing/configurationTree";
import { KeyValueChunkSource } from "@knapweedwood/config.publishing/keyValueChunkSource";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { randomUUID } from "node:crypto";
import { CpuMeter } from "./cpuMeter.js";
import { createMeasurements } from "./createMeasurements.js";
import { heapAfterCollection } from "./heapAfterCollection.js";
import type { Measurement } from "./measurement.js";

const PUBLISH_COUNT = 20;
const KEYS_PER_TEAM = 2;
const CONDITIONS =
    `one process, ${KEYS_PER_TEAM} keys a team, ${PUBLISH_COUNT} publishes of one team each, stand-in in memory`;

interface ConfigurationPoint {
    teams: number;
    heapBytes: number;
    publishCpuMs: number;
    adoptCpuMs: number;
    writtenBytes: number;
    keyValueCalls: number;
}

/** Measures the cost of holding, publishing and adopting a configuration by the number of teams. */
export async function measureConfiguration(opts: { sizes: number[]; }): Promise<Measurement[]> {
    const points: ConfigurationPoint[] = [];
    for (const teams of opts.sizes) {
        points.push(await measurePoint(teams));
    }
    return createMeasurements({
        sizeUnit: "teams",
        conditions: CONDITIONS,
        points,
        sizeOf: point => point.teams,
        quantities: [
            { name: "configuration.heap", unit: "B", value: p => p.heapBytes },
            { name: "configuration.publish-cpu", unit: "ms", value: p => p.publishCpuMs },
            { name: "configuration.adopt-cpu", unit: "ms", value: p => p.adoptCpuMs },
            { name: "configuration.written", unit: "B", value: p => p.writtenBytes },
            { name: "configuration.calls", unit: "calls", value: p => p.keyValueCalls },
        ],
    });
}

async function measurePoint(teams: number): Promise<ConfigurationPoint> {
    const clock = new SystemClock();
    const keyValue = new MemoryKeyValueService({ clock });
    const publisher = new ConfigurationPublisher({ keyValue, clock, createChangeId: randomUUID });
    await publisher.publish({
        actor: "bench",
        changes: Array.from({ length: teams }, (_, n) => teamChanges(n, 1)).flat(),
    });
    const heapBeforeBytes = heapAfterCollection();
    const activeConfiguration = new ActiveConfiguration({ onAdopted: () => undefined });
    await adoptLatest(activeConfiguration, keyValue);
    const heapBytes = heapAfterCollection() - heapBeforeBytes;
    const calls = () => keyValue.counters.reads + keyValue.counters.writes;
    const callsBefore = calls();
    const publishCpu = new CpuMeter();
    const revisionBefore = keyValue.revision;
    for (let n = 0; n < PUBLISH_COUNT; n += 1) {
        await publisher.publish({ actor: "bench", changes: teamChanges(n, 2).slice(0, 1) });
    }
    const publishCpuMs = publishCpu.readMs() / PUBLISH_COUNT;
    const keyValueCalls = (calls() - callsBefore) / PUBLISH_COUNT;
    const entries = await keyValue.list("configuration/");
    const writtenBytes = entries
        .filter(entry => entry.modRevision > revisionBefore)
        .reduce((sum, entry) => sum + entry.value.length, 0) / PUBLISH_COUNT;
    const adoptCpuMs = await measureAdoptionMs({ publisher, keyValue, activeConfiguration });
    keyValue.close();
    return { teams, heapBytes, publishCpuMs, adoptCpuMs, writtenBytes, keyValueCalls };
}

/**
 * Measures the mean processor time of adopting a revision, in milliseconds. As in a process of the fleet, each revision
 * follows the previous one. The chunks are available without a fetch.
 */
async function measureAdoptionMs(
    opts: {
        publisher: ConfigurationPublisher;
        keyValue: MemoryKeyValueService;
        activeConfiguration: ActiveConfiguration;
    },
): Promise<number> {
    await adoptLatest(opts.activeConfiguration, opts.keyValue);
    let cpuMs = 0;
    for (let n = 0; n < PUBLISH_COUNT; n += 1) {
        await opts.publisher.publish({ actor: "bench", changes: teamChanges(n, n + 3).slice(0, 1) });
        const store = new ConfigurationStore({ keyValue: opts.keyValue });
        const { root, tree } = await store.load();
        const source = treeSource(tree);
        const cpu = new CpuMeter();
        await opts.activeConfiguration.adopt(root ?? fail(), source);
        cpuMs += cpu.readMs();
    }
    return cpuMs / PUBLISH_COUNT;
}

async function adoptLatest(activeConfiguration: ActiveConfiguration, keyValue: MemoryKeyValueService): Promise<void> {
    const { root } = await new ConfigurationStore({ keyValue }).load();
    await activeConfiguration.adopt(root ?? fail(), new KeyValueChunkSource({ keyValue }));
}

function treeSource(tree: ConfigurationTree): ChunkSource {
    return {
        fetch: references => {
            const wanted = new Set(references);
            const texts = new Map(
                tree.chunks(reference => wanted.has(reference)).map(chunk => [chunk.reference, chunk.text]),
            );
            return Promise.resolve(references.map(reference => texts.get(reference) ?? ""));
        },
    };
}

function teamChanges(n: number, weight: number): ConfigurationChange[] {
    const teamId = `team-${n}` as never;
    const team = {
        teamId,
        displayName: `Team number ${n}`,
        weight,
        limits: { requestsPerSecond: 100, concurrency: 20 },
    };
    const keys = Array.from({ length: KEYS_PER_TEAM }, (_, index) => ({
        keyId: `key-${n}-${index}` as never,
        keyHash: digestOf(`${n}-${index}`) as string,
        role: "caller" as const,
        name: `application ${index}`,
        createdAtMs: 1_700_000_000_000,
    }));
    return [
        { kind: "put", record: { kind: "team", team } },
        ...keys.map(key => ({ kind: "put" as const, record: { kind: "key" as const, teamId, key } })),
    ];
}

function fail(): never {
    throw new Error("no configuration was published");
}
