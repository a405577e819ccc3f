import { exponentialGap } from "@knapweedwood/bench.load/exponentialGap";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { SimulationClock } from "./simulationClock.js";
import type { StreamOutcome } from "./streamOutcome.js";
import { UnequalEngine } from "./unequalEngine.js";
import { UnequalGateway } from "./unequalGateway.js";
import type { UnequalLoad } from "./unequalLoad.js";

const SERVICE = "model" as ServiceName;
const ZONES = ["a", "b", "c", "d"] as ZoneName[];
/** Share of the requests by zone, relative to the mean. */
const ZONE_DEMAND = [1.5, 1.1, 0.8, 0.6];
const GATEWAYS = 20;
const SLOTS = 8;
const REPORT_INTERVAL_MS = 20;
const REPORT_DELAY_MS = 40;
/** Factors of the rate, one after the other. Each zone is at another one. Their mean is 1. */
const RATE_STEPS = [0.38, 1.85, 1.1, 0.67, 1.4, 0.6];
const RATE_STEP_MS = 2500;
const MS_PER_SECOND = 1000;
const SEED_FACTOR = 7919;

/** Simulates a fleet with engines of unequal speed. The same seed gives the same arrivals with and without speeds. */
export function simulateUnequal(opts: { load: UnequalLoad; usesSpeeds: boolean; seed: number; }) {
    const { load, usesSpeeds, seed } = opts;
    const clock = new SimulationClock();
    const randomOf = (stream: number) => new SeededRandom(seed * SEED_FACTOR + stream);
    const engines = load.engines(randomOf(1)).map((slowness, index) =>
        new UnequalEngine({ clock, random: randomOf(1000 + index), upstream: upstreamOf(index, 0), slowness })
    );
    const gateways = Array.from(
        { length: GATEWAYS },
        (_, index) =>
            new UnequalGateway({
                clock,
                random: randomOf(100 + index),
                index,
                zone: ZONES[index % ZONES.length]!,
                placingPeers: GATEWAYS - 1,
                usesSpeeds,
                engines: () => engines,
            }),
    );
    const outcomes: StreamOutcome[] = [];
    const exchangeReports = () => {
        gateways.forEach(sender => {
            const report = sender.reporter.createReport();
            clock.setTimer(REPORT_DELAY_MS, () =>
                gateways.filter(other => other !== sender).forEach(other => {
                    if (other.reporter.loadTracker.apply(report, clock.nowMs())) {
                        other.speeds.apply(report);
                    }
                }));
        });
        gateways.forEach(gateway => gateway.queue.dispatch());
        clock.setTimer(REPORT_INTERVAL_MS, exchangeReports);
    };
    const startNextCall = (zoneIndex: number) => {
        const random = arrivals[zoneIndex]!;
        const step = Math.floor(clock.nowMs() / RATE_STEP_MS) + zoneIndex;
        const factor = RATE_STEPS[step % RATE_STEPS.length]! * ZONE_DEMAND[zoneIndex]!;
        const gapMs = exponentialGap(random, MS_PER_SECOND * ZONES.length / (load.requestsPerS * factor));
        clock.setTimer(gapMs, () => {
            const outcome: StreamOutcome = {
                arrivedAtMs: clock.nowMs(),
                placedAtMs: undefined,
                upstreamId: undefined,
                firstEventAtMs: undefined,
                isRejected: false,
            };
            outcomes.push(outcome);
            const ofZone = gateways.filter((_, index) => index % ZONES.length === zoneIndex);
            ofZone[random.nextInteger(ofZone.length)]!.submit(SERVICE, outcome);
            startNextCall(zoneIndex);
        });
    };
    const arrivals = ZONES.map((_, index) => randomOf(10 + index));
    const { restart } = load;
    if (restart !== undefined) {
        clock.setTimer(restart.atMs, () => {
            const upstream = upstreamOf(restart.engine, restart.atMs);
            engines[restart.engine] = new UnequalEngine({ clock, random: randomOf(2000), upstream, slowness: () => 1 });
            gateways.forEach(gateway => gateway.speeds.forget(upstream.id));
        });
    }
    exchangeReports();
    ZONES.forEach((_, index) => startNextCall(index));
    clock.runUntil(load.durationMs);
    return {
        calls: outcomes.filter(call => call.arrivedAtMs >= load.fromMs),
        slownessOf: (engine: number) => gateways.map(({ speeds }) => speeds.slownessOf(engines[engine]!.upstream.id)),
    };
}

function upstreamOf(index: number, startedAtMs: number): Upstream {
    return {
        id: `e${index}` as UpstreamId,
        service: SERVICE,
        address: { host: `e${index}`, port: 1 },
        zone: ZONES[index % ZONES.length]!,
        softwareVersion: "v1" as SoftwareVersion,
        slots: SLOTS,
        state: "ready",
        startedAtMs,
    };
}
