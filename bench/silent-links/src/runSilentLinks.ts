import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import { TcpRelay } from "@knapweedwood/standins.network/tcpRelay";
import { setTimeout as pause } from "node:timers/promises";
import type { CallRecord } from "./callRecord.js";
import { createBenchEndpoint } from "./createBenchEndpoint.js";
import type { FaultRecord } from "./faultRecord.js";
import type { LinkUnderTest } from "./linkUnderTest.js";
import { measureIdleCost } from "./measureIdleCost.js";
import { runCall } from "./runCall.js";
import { runCountsCall } from "./runCountsCall.js";
import { ServerProcesses } from "./serverProcesses.js";
import type { SilentLinksOptions } from "./silentLinksOptions.js";
import type { SilentLinksReport } from "./silentLinksReport.js";
import { summarizeAddedTime } from "./summarizeAddedTime.js";

const SERVER_COUNT = 3;
const LINK_COUNT = 9;
const MEAN_CALL_INTERVAL_PER_LINK_MS = 40;
const MAX_FRAMES_PER_CALL = 60;
const FRAME_GAP_MS = 10;
const MEAN_FAULT_INTERVAL_MS = 300;
const FAULT_KINDS: FaultRecord["kind"][] = ["forward", "backward", "both", "cut"];
/** A call that starts within this time after a fault counts as affected: the loss may not be detected yet. */
const DETECTION_LIMIT_MS = 1000;
const MS_PER_SECOND = 1000;

/** Makes calls over links that are silenced or cut at random times, and measures the latency that this adds. */
export async function runSilentLinks(opts: SilentLinksOptions): Promise<SilentLinksReport> {
    const servers = new ServerProcesses();
    try {
        const ports = await servers.start(SERVER_COUNT);
        const idle = await measureIdleCost(ports[0]);
        const links = await Promise.all(
            Array.from({ length: LINK_COUNT }, (_, index) => openLink(ports[index % SERVER_COUNT])),
        );
        const endsAtMs = performance.now() + opts.seconds * MS_PER_SECOND;
        const [faults, records] = await Promise.all([
            injectFaults(links, new SeededRandom(opts.seed), endsAtMs),
            makeCalls(links, new SeededRandom(opts.seed + 1), endsAtMs),
        ]);
        const runs = await Promise.all(
            links.slice(0, SERVER_COUNT).map(({ link }) => singleFrame(link.call(runCountsCall, {}))),
        );
        const replacementCount = links.reduce((sum, { relay }) => sum + relay.connectionCount - 1, 0);
        await closeAll(links);
        const affected = records.filter(record => isAffected(record, faults));
        const countOf = (outcome: CallRecord["outcome"]) => records.filter(record => record.outcome === outcome).length;
        return {
            ...opts,
            linkCount: LINK_COUNT,
            faultCount: faults.length,
            replacementCount,
            affected: summarizeAddedTime(affected),
            others: summarizeAddedTime(records.filter(record => !affected.includes(record))),
            wrongCount: countOf("wrong"),
            notRunCount: countOf("not-run"),
            unknownCount: countOf("unknown"),
            doubledCount: runs.reduce((sum, { doubled }) => sum + doubled, 0),
            idleBytesPerSecond: idle.bytesPerSecond,
            idleCoreShare: idle.coreShare,
        };
    }
    finally {
        servers.stop();
    }
}

async function openLink(port: number): Promise<LinkUnderTest> {
    const relay = new TcpRelay({ host: "127.0.0.1", port });
    const endpoint = createBenchEndpoint(`caller-${port}`);
    const link = endpoint.connect(await relay.listen());
    await singleFrame(link.call(runCountsCall, {}));
    return { relay, endpoint, link };
}

async function injectFaults(links: LinkUnderTest[], random: SeededRandom, endsAtMs: number): Promise<FaultRecord[]> {
    const faults: FaultRecord[] = [];
    while (performance.now() < endsAtMs) {
        await pause(MEAN_FAULT_INTERVAL_MS * 2 * random.next());
        const linkIndex = random.nextInteger(links.length);
        const kind = FAULT_KINDS[random.nextInteger(FAULT_KINDS.length)];
        faults.push({ linkIndex, kind, atMs: performance.now() });
        injectFault(links[linkIndex].relay, kind);
    }
    return faults;
}

function injectFault(relay: TcpRelay, kind: FaultRecord["kind"]): void {
    if (kind === "cut") {
        relay.cut();
    }
    else if (kind === "both") {
        relay.silence("forward", "backward");
    }
    else {
        relay.silence(kind);
    }
}

async function makeCalls(links: LinkUnderTest[], random: SeededRandom, endsAtMs: number): Promise<CallRecord[]> {
    const calls: Promise<CallRecord>[] = [];
    for (let callId = 1; performance.now() < endsAtMs; callId += 1) {
        const linkIndex = random.nextInteger(links.length);
        const frameCount = 1 + random.nextInteger(MAX_FRAMES_PER_CALL);
        calls.push(runCall(links[linkIndex].link, linkIndex, { callId, frameCount, gapMs: FRAME_GAP_MS }));
        await pause(MEAN_CALL_INTERVAL_PER_LINK_MS * 2 * random.next() / links.length);
    }
    return Promise.all(calls);
}

function isAffected(record: CallRecord, faults: readonly FaultRecord[]): boolean {
    return faults.some(fault =>
        fault.linkIndex === record.linkIndex && fault.atMs <= record.endedMs
        && record.startedMs <= fault.atMs + DETECTION_LIMIT_MS
    );
}

async function closeAll(links: LinkUnderTest[]): Promise<void> {
    await Promise.all(links.map(({ endpoint }) => endpoint.close(0)));
    links.forEach(({ relay }) => relay.close());
}
