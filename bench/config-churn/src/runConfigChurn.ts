import type { Random } from "@knapweedwood/core.random/random";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { setTimeout as sleep } from "node:timers/promises";
import { ChurnFaults } from "./churnFaults.js";
import { ChurnFleet } from "./churnFleet.js";
import type { ConfigChurnOptions } from "./configChurnOptions.js";
import type { ConfigChurnReport } from "./configChurnReport.js";
import { countReversals } from "./countReversals.js";
import type { PublishOutcome } from "./publishOutcome.js";
import { publishTeam } from "./publishTeam.js";
import { quantilesOf } from "./quantilesOf.js";
import { readAdoptions } from "./readAdoptions.js";
import { revisionLatencies } from "./revisionLatencies.js";
import type { RunHistory } from "./runHistory.js";

const SETTLE_MS = 8_000;
const QUIET_MS = 10_000;
const PUBLISHES_PER_KILL = 8;
const PUBLISHES_PER_PAUSE = 11;
const PUBLISHES_PER_LOST_RESPONSE = 9;
const TEAM_COUNT = 20;

interface Published {
    outcome: PublishOutcome;
}

/**
 * Publishes revisions to real processes while faults are injected. Evaluates from the process logs when each revision
 * was adopted.
 */
export async function runConfigChurn(opts: ConfigChurnOptions): Promise<ConfigChurnReport> {
    const fleet = new ChurnFleet(opts);
    const random = new SeededRandom(opts.seed);
    const faults = new ChurnFaults({ fleet, random });
    try {
        opts.onProgress?.(`starting ${opts.processes} processes`);
        await fleet.start();
        await sleep(SETTLE_MS);
        opts.onProgress?.(`publishing ${opts.publishes} times`);
        const published = await publishUnderFaults({ opts, fleet, faults, random });
        await faults.settle();
        await sleep(QUIET_MS);
        const runningCount = fleet.runningProcesses().length;
        const histories = await readRunHistories(fleet);
        return createReport({ published, histories, runningCount, faults: faults.counts });
    }
    finally {
        await faults.settle();
        await fleet.stop();
    }
}

async function publishUnderFaults(
    run: { opts: ConfigChurnOptions; fleet: ChurnFleet; faults: ChurnFaults; random: Random; },
): Promise<Published[]> {
    const { opts, fleet, faults, random } = run;
    const pending: Promise<Published>[] = [];
    for (let n = 1; n <= opts.publishes; n += 1) {
        injectFaults(faults, n, opts.publishes);
        const entries = fleet.runningProcesses().flatMap(run => run.url ?? []);
        const url = entries[random.nextInteger(entries.length)] ?? "";
        const teamId = `team-${random.nextInteger(TEAM_COUNT)}`;
        pending.push(publishTeam({ url, key: fleet.operatorKey, teamId, weight: n }).then(outcome => ({ outcome })));
        await sleep(opts.publishIntervalMs * (0.5 + random.next()));
    }
    return Promise.all(pending);
}

function injectFaults(faults: ChurnFaults, n: number, publishes: number): void {
    if (n % PUBLISHES_PER_KILL === 0) {
        faults.kill();
    }
    if (n % PUBLISHES_PER_PAUSE === 0) {
        faults.pause();
    }
    if (n % PUBLISHES_PER_LOST_RESPONSE === 0) {
        faults.loseResponse();
    }
    if (n === Math.floor(publishes / 2)) {
        faults.outage();
    }
}

async function readRunHistories(fleet: ChurnFleet): Promise<RunHistory[]> {
    return Promise.all(fleet.runs.map(async run => ({
        run,
        adoptions: readAdoptions(await run.launched.readLog()),
    })));
}

function createReport(
    opts: {
        published: Published[];
        histories: RunHistory[];
        runningCount: number;
        faults: ConfigChurnReport["faults"];
    },
): ConfigChurnReport {
    const count = (kind: PublishOutcome["kind"]) =>
        opts.published.filter(({ outcome }) => outcome.kind === kind).length;
    const accepted = opts.published.flatMap(({ outcome }) => outcome.kind === "accepted" ? [outcome.revision] : []);
    const publishTimes = publishTimesByRevision(opts.histories);
    const endMs = Date.now();
    const latencies = [...new Set(accepted)].flatMap(revision => {
        const publishedAtMs = publishTimes.get(revision);
        const latenciesMs = publishedAtMs === undefined
            ? []
            : revisionLatencies({ revision, publishedAtMs, histories: opts.histories, endMs });
        return latenciesMs.length === 0 ? [] : [latenciesMs];
    });
    const runningHistories = opts.histories.filter(({ run }) => run.endedAtMs === undefined);
    const highest = Math.max(0, ...runningHistories.map(({ adoptions }) => adoptions.at(-1)?.revision ?? 0));
    return {
        processes: opts.runningCount,
        publishes: { accepted: count("accepted"), refused: count("refused"), unknown: count("unknown") },
        faults: opts.faults,
        inForceEverywhere: quantilesOf(latencies.map(each => Math.max(...each))),
        inForceOneProcess: quantilesOf(latencies.flat()),
        reversals: countReversals(opts.histories),
        lostRevisions: accepted.filter(revision => revision > highest).length
            + accepted.length - new Set(accepted).size,
        agreed: {
            reached: runningHistories.filter(({ adoptions }) => adoptions.at(-1)?.revision === highest).length,
            total: runningHistories.length,
        },
    };
}

/** Returns the publish time of each revision, from the adoption time and age that processes logged. */
function publishTimesByRevision(histories: RunHistory[]): Map<number, number> {
    return new Map(
        histories.flatMap(({ adoptions }) =>
            adoptions.map((adoption): [number, number] => [adoption.revision, adoption.atMs - adoption.ageMs])
        ),
    );
}
