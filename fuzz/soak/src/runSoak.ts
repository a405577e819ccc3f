import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { bindingArrivalsOf } from "./bindingArrivalsOf.js";
import { crashingRequest } from "./crashingRequest.js";
import { drawShare } from "./drawShare.js";
import { drawUpstreamSizes } from "./drawUpstreamSizes.js";
import { FaultInjector } from "./faultInjector.js";
import { oracle } from "./oracle.js";
import { pause } from "./pause.js";
import { planFaults } from "./planFaults.js";
import { SoakBalancer } from "./soakBalancer.js";
import { SoakCaller } from "./soakCaller.js";
import { SoakFleet } from "./soakFleet.js";
import { SoakJobClient } from "./soakJobClient.js";
import type { SoakOptions } from "./soakOptions.js";
import { SoakRecord } from "./soakRecord.js";
import type { SoakReport } from "./soakReport.js";
import { SoakTeams } from "./soakTeams.js";

/** Share of the seeds whose deployment has teams. */
const TEAMS_SHARE = 0.6;
const CALLERS = 16;
const PROBERS = 2;
const JOB_INTERVAL_MS = 900;
const CONFIGURATION_INTERVAL_MS = 4000;
const CANCELLED_SHARE = 0.15;
const CHECK_INTERVAL_MS = 1000;
const START_DELAY_MS = 3000;
const WARM_UP_MS = 2000;
/** Time for the fleet to recover and for calls that check the recovery. */
const RECOVERY_PHASE_MS = 16_000;
/** Time in which all jobs end once there are no more faults and no new jobs. */
const FINISH_MS = 18_000;
/** Number of the first generator for the sizes of the upstreams. Those of the callers come before. */
const FIRST_SIZES_STREAM = 1000;
const SUBNETS = 200;
const FIRST_SUBNET = 20;
/** Spaces the seeds apart, because the generator starts with similar values for small seeds. */
const SEED_FACTOR = 7919;

/**
 * Runs the real programs under randomly drawn faults and checks the promises meanwhile. Ends early at the first
 * violation.
 */
export async function runSoak(opts: SoakOptions): Promise<SoakReport> {
    const clock = new SystemClock();
    const nowMs = () => clock.nowMs();
    const record = new SoakRecord();
    const randomOf = (stream: number) => new SeededRandom(opts.seed * SEED_FACTOR + stream);
    const subnet = FIRST_SUBNET + opts.seed % SUBNETS;
    const hasTeams = drawShare(randomOf(6), TEAMS_SHARE);
    const teams = hasTeams ? new SoakTeams({ record, random: randomOf(7) }) : undefined;
    const upstreamSizes = drawUpstreamSizes(number => randomOf(FIRST_SIZES_STREAM + number));
    const fleet = new SoakFleet({ ...opts, teams, upstreamSizes, subnet, record, random: randomOf(1), nowMs });
    await fleet.start();
    await pause(START_DELAY_MS);

    const balancer = new SoakBalancer({ gateways: fleet.gatewayAddresses, random: randomOf(2) });
    const [callersAbort, jobsAbort] = [new AbortController(), new AbortController()];
    const shared = { balancer, record, nowMs, teams, newestVersion: () => fleet.operator.newestVersion };
    const callers = Array.from(
        { length: CALLERS + PROBERS + 1 },
        (_, index) => new SoakCaller({ ...shared, name: `c${index}`, random: randomOf(10 + index) }),
    );
    const hasCrashingRequest = drawShare(randomOf(5), opts.crashingShare);
    callers.slice(PROBERS, -1).forEach(caller => void caller.run(callersAbort.signal));
    callers.slice(hasCrashingRequest ? -1 : callers.length).forEach(caller =>
        void caller.sendCrashing(callersAbort.signal)
    );
    const slowReader = new SoakCaller({ ...shared, name: "slow", random: randomOf(8) });
    void (hasTeams ? slowReader.readSlowly(callersAbort.signal) : undefined);
    callers.slice(0, PROBERS).forEach(prober => void prober.probe(fleet.gatewayAddresses, callersAbort.signal));
    const jobs = new SoakJobClient({ ...shared, name: "j", random: randomOf(3), cancelledShare: CANCELLED_SHARE });
    void jobs.run(JOB_INTERVAL_MS, jobsAbort.signal);
    const configurationTimer = setInterval(
        () => void fleet.operator.writeNextConfiguration(),
        CONFIGURATION_INTERVAL_MS,
    );

    const injector = new FaultInjector({ fleet, record, nowMs });
    const timers = planFaults(randomOf(4), { fromMs: WARM_UP_MS, toMs: WARM_UP_MS + opts.faultMs })
        .map(fault => setTimeout(() => injector.inject(fault), fault.atMs));
    const hasViolations = () => oracle(record).length > 0;
    await waitUntil(hasViolations, WARM_UP_MS + opts.faultMs);
    timers.forEach(timer => clearTimeout(timer));
    await injector.waitForPending();
    fleet.clearFaults();
    record.faultsEndedAtMs = nowMs();
    jobsAbort.abort();
    await waitUntil(hasViolations, RECOVERY_PHASE_MS);
    callersAbort.abort();
    clearInterval(configurationTimer);
    await waitUntil(() => hasViolations() || record.jobs.every(job => isFinished(job)), FINISH_MS);
    jobs.stop();
    await jobs.readAllResults();
    record.endedAtMs = hasViolations() ? undefined : nowMs();
    const violations = oracle(record);
    balancer.close();
    await fleet.close();
    return {
        seed: opts.seed,
        violations,
        hasTeams,
        upstreamSizes,
        crashes: record.runs.filter(run => run.body === crashingRequest.body).length,
        faults: record.faults.map(fault => `${Math.round(fault.fromMs)} ${fault.kind} ${fault.target}`),
        calls: record.calls.length,
        served: record.calls.filter(call => call.statusCode === 200 && call.isComplete).length,
        limited: record.calls.filter(call => call.statusCode === 429).length,
        unknownKeys: record.calls.filter(call => call.statusCode === 401).length,
        foreignReads: record.foreignReads.length,
        upstreamLimits: record.upstreamLimits.filter(limit => bindingArrivalsOf(limit).length > 0).length,
        jobs: record.jobs.filter(job => job.acceptedAtMs !== undefined).length,
        items: record.jobs.reduce((sum, job) => sum + job.results.length, 0),
    };
}

function isFinished(job: SoakRecord["jobs"][number]): boolean {
    return job.acceptedAtMs === undefined || job.cancelledAtMs !== undefined || job.results.length >= job.items.length;
}

/** Resolves when the condition holds, at the latest after `maxMs`. */
async function waitUntil(condition: () => boolean, maxMs: number): Promise<void> {
    for (let leftMs = maxMs; leftMs > 0 && !condition(); leftMs -= CHECK_INTERVAL_MS) {
        await pause(Math.min(leftMs, CHECK_INTERVAL_MS));
    }
}
