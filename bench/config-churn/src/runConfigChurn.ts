import type { Random } from "@knapweedwood/core.random/random";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { setTimeout as sleep } from "node:timers/promises";
import { ChurnFaults } from "./churnFaults.js";
import { ChurnFleet } from "./churnFleet.js";
import type { ConfigChurnOptions } from "./configChurnOptions.js";
import type { ConfigChurnReport } from "./configChurnReport.js";
import { countReversals } from "./countReversals.js";
import type { JudgedLife } from "./judgedLife.js";
import type { PublishOutcome } from "./publishOutcome.js";
import { publishTeam } from "./publishTeam.js";
import { quantilesOf } from "./quantilesOf.js";
import { readAdoptions } from "./readAdoptions.js";
import { revisionLatencies } from "./revisionLatencies.js";

const SETTLE_MS = 8_000;
const QUIET_MS = 10_000;
const KILL_EVERY = 8;
const PAUSE_EVERY = 11;
const LOSE_ANSWER_EVERY = 9;
const TEAMS = 20;

interface Published {
    outcome: PublishOutcome;
}

/** Publishes again and again on real processes under churn, and judges from their logs what was in force when. */
export async function runConfigChurn(opts: ConfigChurnOptions): Promise<ConfigChurnReport> {
    const fleet = new ChurnFleet(opts);
    const random = new SeededRandom(opts.seed);
    const faults = new ChurnFaults({ fleet, random });
    try {
        opts.onProgress?.(`starting ${opts.processes} processes`);
        await fleet.start();
        await sleep(SETTLE_MS);
        opts.onProgress?.(`publishing ${opts.publishes} times`);
        const published = await publishUnderChurn({ opts, fleet, faults, random });
        await faults.settle();
        await sleep(QUIET_MS);
        const living = fleet.living().length;
        const lives = await judgeLives(fleet);
        return reportOf({ published, lives, living, faults: faults.counts });
    }
    finally {
        await faults.settle();
        await fleet.stop();
    }
}

async function publishUnderChurn(
    run: { opts: ConfigChurnOptions; fleet: ChurnFleet; faults: ChurnFaults; random: Random; },
): Promise<Published[]> {
    const { opts, fleet, faults, random } = run;
    const pending: Promise<Published>[] = [];
    for (let n = 1; n <= opts.publishes; n += 1) {
        injectFaults(faults, n, opts.publishes);
        const entries = fleet.living().flatMap(life => life.url ?? []);
        const url = entries[random.nextInteger(entries.length)] ?? "";
        const teamId = `team-${random.nextInteger(TEAMS)}`;
        pending.push(publishTeam({ url, key: fleet.operatorKey, teamId, weight: n }).then(outcome => ({ outcome })));
        await sleep(opts.publishIntervalMs * (0.5 + random.next()));
    }
    return Promise.all(pending);
}

function injectFaults(faults: ChurnFaults, n: number, publishes: number): void {
    if (n % KILL_EVERY === 0) {
        faults.kill();
    }
    if (n % PAUSE_EVERY === 0) {
        faults.pause();
    }
    if (n % LOSE_ANSWER_EVERY === 0) {
        faults.loseAnswer();
    }
    if (n === Math.floor(publishes / 2)) {
        faults.outage();
    }
}

async function judgeLives(fleet: ChurnFleet): Promise<JudgedLife[]> {
    return Promise.all(fleet.lives.map(async life => ({
        life,
        adoptions: readAdoptions(await life.launched.readLog()),
    })));
}

function reportOf(
    run: { published: Published[]; lives: JudgedLife[]; living: number; faults: ConfigChurnReport["faults"]; },
): ConfigChurnReport {
    const count = (kind: PublishOutcome["kind"]) => run.published.filter(({ outcome }) => outcome.kind === kind).length;
    const accepted = run.published.flatMap(({ outcome }) => outcome.kind === "accepted" ? [outcome.revision] : []);
    const publishedAt = publishTimes(run.lives);
    const endMs = Date.now();
    const latencies = [...new Set(accepted)].flatMap(revision => {
        const publishedAtMs = publishedAt.get(revision);
        const each = publishedAtMs === undefined
            ? []
            : revisionLatencies({ revision, publishedAtMs, lives: run.lives, endMs });
        return each.length === 0 ? [] : [each];
    });
    const current = run.lives.filter(({ life }) => life.endedAtMs === undefined);
    const highest = Math.max(0, ...current.map(({ adoptions }) => adoptions.at(-1)?.revision ?? 0));
    return {
        processes: run.living,
        publishes: { accepted: count("accepted"), refused: count("refused"), unknown: count("unknown") },
        faults: run.faults,
        inForceEverywhere: quantilesOf(latencies.map(each => Math.max(...each))),
        inForceOneProcess: quantilesOf(latencies.flat()),
        reversals: countReversals(run.lives),
        lostRevisions: accepted.filter(revision => revision > highest).length
            + accepted.length - new Set(accepted).size,
        agreed: {
            reached: current.filter(({ adoptions }) => adoptions.at(-1)?.revision === highest).length,
            total: current.length,
        },
    };
}

/** When each revision was published, as the processes that have it know. */
function publishTimes(lives: JudgedLife[]): Map<number, number> {
    return new Map(
        lives.flatMap(({ adoptions }) =>
            adoptions.map((adoption): [number, number] => [adoption.revision, adoption.atMs - adoption.ageMs])
        ),
    );
}
