import { setTimeout as pause } from "node:timers/promises";
import { createBenchEndpoint } from "./createBenchEndpoint.js";
import type { IdleCost } from "./idleCost.js";

const IDLE_LINK_COUNT = 200;
const WARM_UP_MS = 3000;
const MEASURE_MS = 4000;
const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/** Opens 200 links to one process, leaves them idle, and measures traffic and processor time per link. */
export async function measureIdleCost(port: number): Promise<IdleCost> {
    const endpoint = createBenchEndpoint("idle");
    Array.from({ length: IDLE_LINK_COUNT }, (_, index) => endpoint.connect(`127.0.0.1:${port}?link=${index}`));
    while (endpoint.links().length < IDLE_LINK_COUNT) {
        await pause(10);
    }
    await pause(WARM_UP_MS);
    const before = { ...endpoint.traffic(), usage: process.cpuUsage(), atMs: performance.now() };
    await pause(MEASURE_MS);
    const traffic = endpoint.traffic();
    const usage = process.cpuUsage(before.usage);
    const elapsedMs = performance.now() - before.atMs;
    await endpoint.close(0);
    const bytes = traffic.sentBytes + traffic.receivedBytes - before.sentBytes - before.receivedBytes;
    return {
        bytesPerSecond: bytes / IDLE_LINK_COUNT / elapsedMs * MS_PER_SECOND,
        coreShare: (usage.user + usage.system) / MICROSECONDS_PER_MS / elapsedMs / IDLE_LINK_COUNT,
    };
}
