import { exponentialGap } from "@knapweedwood/bench.load/exponentialGap";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Random } from "@knapweedwood/core.random/random";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { CallOutcomes } from "./callOutcomes.js";
import type { DecisionFigures } from "./decisionFigures.js";
import type { DecisionPolicy } from "./decisionPolicy.js";
import { JobSimulation } from "./jobSimulation.js";
import type { LoadPattern } from "./loadPattern.js";
import { SimulatedCaller } from "./simulatedCaller.js";
import { SimulatedEngine } from "./simulatedEngine.js";
import { SimulatedGateway } from "./simulatedGateway.js";
import { SimulationClock } from "./simulationClock.js";

const SERVICE = "model" as ServiceName;
const ZONES = ["a", "b", "c"] as ZoneName[];
const ENGINES = 8;
const SLOTS = 8;
const GATEWAYS = 4;
/** Mean time between online requests at the usual load of 39 per second. */
const MEAN_GAP_MS = 1000 / 39;
const REPORT_INTERVAL_MS = 15;
const SEED_FACTOR = 7919;
/** First stream of random numbers for the callers of teams. */
const TEAM_STREAM = 100;
const MS_PER_SECOND = 1000;

/** Simulates one load with one policy. The same seed gives the same arrivals for every policy. */
export function simulateDecisions(opts: { policy: DecisionPolicy; load: LoadPattern; seed: number; }): DecisionFigures {
    const { policy, load } = opts;
    const clock = new SimulationClock();
    const randomOf = (stream: number) => new SeededRandom(opts.seed * SEED_FACTOR + stream);
    const engines = Array.from(
        { length: ENGINES },
        (_, index) =>
            new SimulatedEngine({ clock, id: `e${index}`, service: SERVICE, zone: ZONES[index % 3]!, slots: SLOTS }),
    );
    const usableEngines = () => engines.slice(0, Math.round(ENGINES * load.engineShare(clock.nowMs())));
    const teams = load.teams?.map(({ team }) => team);
    const upstreams = (): Upstream[] => usableEngines().map(engine => engine.upstream);
    const gateways = Array.from(
        { length: GATEWAYS },
        (_, index) =>
            new SimulatedGateway({
                clock,
                random: randomOf(10 + index),
                policy,
                zone: ZONES[index % 3]!,
                index,
                upstreams,
                placingPeers: () => GATEWAYS - 1,
                teams,
            }),
    );
    const outcomes = new CallOutcomes();
    const jobs = new JobSimulation({ clock, random: randomOf(2), engines: usableEngines, service: SERVICE });
    const reporters = [...gateways.map(gateway => gateway.reporter), jobs.reporter];

    const exchangeReports = () => {
        reporters.forEach(sender => {
            const report = sender.createReport();
            reporters.filter(other => other !== sender).forEach(other =>
                other.loadTracker.apply(report, clock.nowMs())
            );
        });
        gateways.forEach(gateway => gateway.queue.dispatch());
        jobs.dispatch();
        clock.setTimer(REPORT_INTERVAL_MS, exchangeReports);
    };
    const startCallers = (random: Random, meanGapMs: () => number, team: Team | undefined) => {
        clock.setTimer(exponentialGap(random, meanGapMs()), () => startCallers(random, meanGapMs, team));
        new SimulatedCaller({ clock, random, gateways, engines, outcomes, team }).start();
    };
    exchangeReports();
    if (load.teams === undefined) {
        startCallers(randomOf(1), () => MEAN_GAP_MS / load.rateFactor(clock.nowMs()), undefined);
    }
    // Each team has its own random numbers, so that its arrivals don't depend on the load of the others.
    load.teams?.forEach(({ team, ratePerSecond }, index) =>
        startCallers(randomOf(TEAM_STREAM + index), () => MS_PER_SECOND / ratePerSecond(clock.nowMs()), team)
    );
    clock.runUntil(load.durationMs);
    return { policy, load: load.name, ...outcomes.figures(load), itemsOnTimeShare: jobs.onTimeShare(load) };
}
