// Counts of teams that relays drop, or that come late, would let gateways admit more than the limit of a team together.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { FleetRateLimiter } from "@knapweedwood/routing.limits/fleetRateLimiter";
import { SimulatedNetwork } from "@knapweedwood/standins.network/simulatedNetwork";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LoadExchange } from "../src/loadExchange.js";
import type { LoadPeer } from "../src/loadPeer.js";
import { loadReportOf } from "./loadReportOf.js";

const TEAM = { id: "team" as TeamId, requestsPerSecond: 100, burst: 20 };
const STEP_MS = 5;

/** Runs gateways that exchange load reports, with `demand` requests a second at all together. Returns what they admit. */
async function runGateways(opts: { gateways: number; demand: number; seconds: number; }) {
    const clock = new ManualClock();
    const random = new SeededRandom(1);
    const network = new SimulatedNetwork({ clock, random });
    network.lossShare = 0.005;
    network.maxExtraDelayMs = 5;
    const peers = Array.from({ length: opts.gateways }, (_, number): LoadPeer => ({
        instanceName: `gateway-${number}` as InstanceName,
        zone: `zone-${number % 3}` as ZoneName,
        address: { host: `gateway-${number}`, port: 1 },
        placesByLoad: true,
        isPreferredRelay: false,
    }));
    const gateways = peers.map(peer => {
        const others = peers.filter(other => other !== peer);
        const limiter = new FleetRateLimiter({
            startedAtMs: 0,
            isLimiting: () => true,
            listedPeers: () => others.map(other => other.instanceName),
            teamOf: () => TEAM,
            onActive: () => exchange.markChanged(),
        });
        let sequence = 0;
        const exchange: LoadExchange = new LoadExchange({
            clock,
            logger: silentLogger,
            channel: network.channelOf(peer.address.host),
            self: peer,
            placesByLoad: () => true,
            peers: () => others,
            createReport: () => {
                sequence += 1;
                const teamUsage = limiter.usageToReport(clock.nowMs());
                return loadReportOf({ instanceName: peer.instanceName, sequence, teamUsage });
            },
            onReport: report => limiter.apply(report, clock.nowMs()),
            intervalMs: () => limiter.reportIntervalMs(clock.nowMs()),
        });
        return { limiter, exchange };
    });
    await Promise.all(gateways.map(({ exchange }) => exchange.listen()));
    await clock.advance(6000);
    let admitted = 0;
    let rejected = 0;
    for (let step = 0; step < opts.seconds * 1000 / STEP_MS; step += 1) {
        gateways.forEach(({ limiter, exchange }) => {
            if (random.next() >= opts.demand / opts.gateways * STEP_MS / 1000) {
                return;
            }
            if (limiter.tryAdmit(TEAM, clock.nowMs())!.isAdmitted) {
                admitted += 1;
                exchange.markChanged();
            }
            else {
                rejected += 1;
            }
        });
        await clock.advance(STEP_MS);
    }
    gateways.forEach(({ exchange }) => exchange.close());
    return { admitted, rejected };
}

for (const gateways of [6, 20]) {
    test(`${gateways} gateways use the limit of a team together, and reject nothing far below it`, async () => {
        const { admitted } = await runGateways({ gateways, demand: 400, seconds: 3 });
        assert.ok(admitted >= 0.9 * 3 * TEAM.requestsPerSecond, `${admitted} admitted`);
        assert.ok(admitted <= (3 * TEAM.requestsPerSecond + TEAM.burst) * 1.1 + 20, `${admitted} admitted`);
        const below = await runGateways({ gateways, demand: 60, seconds: 3 });
        assert.equal(below.rejected, 0);
    });
}
