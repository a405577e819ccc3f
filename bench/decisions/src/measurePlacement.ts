import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { LeastLoadedPlacement } from "@knapweedwood/fleet.load/leastLoadedPlacement";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { SimulationClock } from "./simulationClock.js";

const UPSTREAMS = 40;
const PEERS = 19;
const WARM_UP = 20_000;
const PLACEMENTS = 100_000;
const MICROSECONDS_PER_MS = 1000;

/** Measures the mean time of one placement at 40 upstreams, in microseconds, with and without learned speeds. */
export function measurePlacement(usesSpeeds: boolean): number {
    const clock = new SimulationClock();
    const loadTracker = new LoadTracker();
    const speeds = new UpstreamSpeeds({ clock });
    const upstreams = Array.from({ length: UPSTREAMS }, (_, index) => upstreamOf(index));
    clock.runUntil(100);
    upstreams.forEach((upstream, index) => {
        loadTracker.count(upstream.id, "online", 1);
        speeds.recordFirstData(upstream, 50);
        Array.from({ length: 20 }).forEach(() => speeds.recordEvents(upstream, 1, 100 - 10 * (1 + index % 4)));
    });
    const placement = new LeastLoadedPlacement({
        loadTracker,
        random: new SeededRandom(1),
        zone: "z0" as ZoneName,
        connectionShare: () => Infinity,
        placingPeers: () => PEERS,
        ...usesSpeeds ? { speeds } : {},
    });
    const place = (times: number) => {
        for (let index = 0; index < times; index += 1) {
            placement.placeOnline(upstreams, { promptParts: [], objectiveAtMs: 400 });
        }
    };
    place(WARM_UP);
    const startedAtMs = performance.now();
    place(PLACEMENTS);
    return (performance.now() - startedAtMs) * MICROSECONDS_PER_MS / PLACEMENTS;
}

function upstreamOf(index: number): Upstream {
    return {
        id: `upstream-${index}` as UpstreamId,
        service: "model" as ServiceName,
        address: { host: "h", port: 1 },
        zone: `z${index % 4}` as ZoneName,
        softwareVersion: "v1" as SoftwareVersion,
        slots: 8,
        state: "ready",
        startedAtMs: 0,
    };
}
