import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import { CpuMeter } from "./cpuMeter.js";
import { createBenchEndpoint } from "./createBenchEndpoint.js";
import { createMeasurements } from "./createMeasurements.js";
import { heapAfterCollection } from "./heapAfterCollection.js";
import type { Measurement } from "./measurement.js";
import { SocketMeter } from "./socketMeter.js";

const SETTLE_MS = 2_000;
const MS_PER_SECOND = 1_000;
const ENDS_PER_LINK = 2;
const CONDITIONS = "idle links, both ends in one operating-system process, divided by two";

interface LinksPoint {
    links: number;
    cpuMsPerSecond: number;
    sentBytesPerSecond: number;
    heapBytes: number;
}

/** Measures the cost of idle links: heartbeats, and the memory of one end of a link. */
export async function measureLinks(opts: { sizes: number[]; durationMs: number; }): Promise<Measurement[]> {
    const points: LinksPoint[] = [];
    for (const links of opts.sizes) {
        points.push(await measurePoint(links, opts.durationMs));
    }
    return createMeasurements({
        sizeUnit: "links of a process",
        conditions: CONDITIONS,
        points,
        sizeOf: point => point.links,
        quantities: [
            { name: "links.cpu", unit: "ms/s", value: point => point.cpuMsPerSecond },
            { name: "links.sent", unit: "B/s", value: point => point.sentBytesPerSecond },
            { name: "links.heap", unit: "B", value: point => point.heapBytes },
        ],
    });
}

async function measurePoint(links: number, durationMs: number): Promise<LinksPoint> {
    const clock = new SystemClock();
    const heapBeforeBytes = heapAfterCollection();
    const sockets = new SocketMeter();
    const hub = createBenchEndpoint("hub", "entry");
    const peers = Array.from({ length: links }, (_, n) => createBenchEndpoint(`peer-${n}`, "side"));
    await connectAll(hub, peers);
    await sleep(clock, SETTLE_MS);
    const heapBytes = (heapAfterCollection() - heapBeforeBytes) / ENDS_PER_LINK;
    const [cpu, startedAtMs, sentBefore] = [new CpuMeter(), clock.nowMs(), sockets.readSentBytes()];
    await sleep(clock, durationMs);
    const seconds = (clock.nowMs() - startedAtMs) / MS_PER_SECOND;
    const point = {
        links,
        cpuMsPerSecond: cpu.readMs() / seconds / ENDS_PER_LINK,
        sentBytesPerSecond: (sockets.readSentBytes() - sentBefore) / seconds / ENDS_PER_LINK,
        heapBytes,
    };
    await Promise.all([hub, ...peers].map(endpoint => endpoint.close(0)));
    sockets.stop();
    return point;
}

async function connectAll(hub: WebSocketLinkEndpoint, peers: WebSocketLinkEndpoint[]): Promise<void> {
    const addresses = await Promise.all(peers.map(peer => peer.listen()));
    addresses.forEach(address => hub.connect(address));
}
