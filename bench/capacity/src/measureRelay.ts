import { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { MemoryInstanceList } from "@knapweedwood/standins.instance-list/memoryInstanceList";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { fork } from "node:child_process";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { CpuMeter } from "./cpuMeter.js";
import { createFleetMember } from "./createFleetMember.js";
import { createMeasurements } from "./createMeasurements.js";
import type { Measurement } from "./measurement.js";
import { SocketMeter } from "./socketMeter.js";

const MS_PER_SECOND = 1_000;
const SETTLE_MS = 3_000;
const PUBLISH_COUNT = 10;
const PUBLISH_GAP_MS = 500;
const CONDITIONS = "one relay in an operating-system process of its own, its children in another; publishes and the "
    + "stand-in within the relay's process";

interface RelayPoint {
    children: number;
    cpuMsPerSecond: number;
    sentBytesPerSecond: number;
    cpuMsPerPublish: number;
    sentBytesPerPublish: number;
}

/** Measures the cost of a relay by the number of its children, without publishes and for each publish. */
export async function measureRelay(opts: { sizes: number[]; durationMs: number; }): Promise<Measurement[]> {
    const points: RelayPoint[] = [];
    for (const children of opts.sizes) {
        points.push(await measurePoint(children, opts.durationMs));
    }
    return createMeasurements({
        sizeUnit: "children of a relay",
        conditions: CONDITIONS,
        points,
        sizeOf: point => point.children,
        quantities: [
            { name: "relay.cpu", unit: "ms/s", value: p => p.cpuMsPerSecond },
            { name: "relay.sent", unit: "B/s", value: p => p.sentBytesPerSecond },
            { name: "relay.publish-cpu", unit: "ms a publish", value: p => p.cpuMsPerPublish },
            { name: "relay.publish-sent", unit: "B a publish", value: p => p.sentBytesPerPublish },
        ],
    });
}

async function measurePoint(children: number, durationMs: number): Promise<RelayPoint> {
    const clock = new SystemClock();
    const sockets = new SocketMeter();
    const keyValue = new MemoryKeyValueService({ clock });
    const instanceList = new MemoryInstanceList({ clock, lagMs: 0, ttlMs: Number.MAX_SAFE_INTEGER });
    const relay = await createFleetMember({ name: "relay", kind: "entry", keyValue, instanceList, seed: 1 });
    await relay.configuration.start();
    const publisher = new ConfigurationPublisher({ keyValue, clock, createChangeId: randomUUID });
    await publish(publisher, 0);
    const childProcess = fork(new URL("./relayChildrenMain.js", import.meta.url));
    try {
        childProcess.send({ relay: relay.record, children });
        await once(childProcess, "message");
        await sleep(clock, SETTLE_MS);
        const idle = await measureWhile(clock, sockets, () => sleep(clock, durationMs));
        const publishing = await measureWhile(clock, sockets, async () => {
            for (let n = 1; n <= PUBLISH_COUNT; n += 1) {
                await publish(publisher, n);
                await sleep(clock, PUBLISH_GAP_MS);
            }
        });
        const addedPerPublish = (perSecond: (sample: typeof idle) => number) =>
            Math.max(0, perSecond(publishing) - perSecond(idle)) * publishing.seconds / PUBLISH_COUNT;
        return {
            children,
            ...idle,
            cpuMsPerPublish: addedPerPublish(sample => sample.cpuMsPerSecond),
            sentBytesPerPublish: addedPerPublish(sample => sample.sentBytesPerSecond),
        };
    }
    finally {
        childProcess.kill();
        await relay.configuration.stop();
        await relay.endpoint.close(0);
        keyValue.close();
        sockets.stop();
    }
}

async function publish(publisher: ConfigurationPublisher, n: number): Promise<void> {
    const team = {
        teamId: `team-${n}` as never,
        displayName: `Team ${n}`,
        weight: 1,
        limits: { requestsPerSecond: 10 },
    };
    await publisher.publish({ actor: "bench", changes: [{ kind: "put", record: { kind: "team", team } }] });
}

async function measureWhile(clock: SystemClock, sockets: SocketMeter, action: () => Promise<void>) {
    const [sentBefore, startedAtMs] = [sockets.readSentBytes(), clock.nowMs()];
    const cpu = new CpuMeter();
    await action();
    const seconds = (clock.nowMs() - startedAtMs) / MS_PER_SECOND;
    return {
        seconds,
        cpuMsPerSecond: cpu.readMs() / seconds,
        sentBytesPerSecond: (sockets.readSentBytes() - sentBefore) / seconds,
    };
}
