import { poissonArrivals } from "@knapweedwood/bench.load/poissonArrivals";
import { Recorder } from "@knapweedwood/bench.load/recorder";
import { runClosedLoop } from "@knapweedwood/bench.load/runClosedLoop";
import { runOpenLoop } from "@knapweedwood/bench.load/runOpenLoop";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { ChatClient } from "./chatClient.js";
import type { OverheadPlan } from "./overheadPlan.js";
import type { OverheadReport } from "./overheadReport.js";
import { RateRounds } from "./rateRounds.js";
import type { TestBed } from "./testBed.js";

const MS_PER_S = 1000;
const CONCURRENCY = 64;
const STREAM_TOKENS = 16;
const LOAD_SHARE = 0.6;
const MAX_REASON_LENGTH = 200;

type Path = "direct" | "passThrough" | "entry";
const PATHS: Path[] = ["direct", "passThrough", "entry"];

/** Measures rates and latency of the paths in alternation, so that the state of the machine affects all alike. */
export class OverheadExperiment {
    /** Number of failed calls by error message. */
    readonly failures: { [reason: string]: number; } = {};
    private readonly plan: OverheadPlan;
    private readonly testBed: TestBed;
    private readonly clock = new SystemClock();
    private readonly random: SeededRandom;
    private readonly clients: { [path in Path]: ChatClient; };

    constructor(plan: OverheadPlan, testBed: TestBed) {
        this.plan = plan;
        this.testBed = testBed;
        this.random = new SeededRandom(plan.seed);
        this.clients = {
            direct: new ChatClient({ target: testBed.direct, model: testBed.model }),
            passThrough: new ChatClient({ target: testBed.passThrough, model: testBed.model }),
            entry: new ChatClient({ target: testBed.throughEntry, model: testBed.model }),
        };
    }

    /** Runs both closed loops on each path once and discards the rates. */
    async warmUp(): Promise<void> {
        for (const path of PATHS) {
            await this.requestRate(path);
            await this.tokenRate(path);
        }
    }

    /** Measures the rate of one-token completions, in closed loops. */
    async measureRequests(): Promise<OverheadReport["requests"]> {
        const rounds = await this.measureInRounds(path => this.requestRate(path));
        return {
            direct: rounds.direct.summary(),
            passThrough: rounds.passThrough.summary(),
            entry: rounds.entry.summary(),
            entryShare: rounds.entry.meanPerS / rounds.passThrough.meanPerS,
        };
    }

    /** Measures streamed tokens per second, in closed loops. */
    async measureTokens(): Promise<OverheadReport["tokens"]> {
        const rounds = await this.measureInRounds(path => this.tokenRate(path));
        return {
            direct: rounds.direct.summary(),
            passThrough: rounds.passThrough.summary(),
            entry: rounds.entry.summary(),
        };
    }

    /**
     * Measures the time to first token at a share of the entry's saturation, in open loops.
     *
     * @param tokensPerS streamed tokens per second at which the entry is saturated
     */
    async measureFirstToken(tokensPerS: number): Promise<OverheadReport["firstToken"]> {
        const saturationPerS = tokensPerS / STREAM_TOKENS;
        const offeredPerS = saturationPerS * LOAD_SHARE;
        const recorders = { direct: new Recorder(), passThrough: new Recorder(), entry: new Recorder() };
        for (let round = 0; round < this.plan.rounds; round += 1) {
            for (const path of PATHS) {
                await this.firstTokenRound(path, offeredPerS, recorders[path]);
            }
        }
        const direct = recorders.direct.summary();
        const passThrough = recorders.passThrough.summary();
        const entry = recorders.entry.summary();
        return {
            saturationPerS,
            offeredPerS,
            direct,
            passThrough,
            entry,
            addedP50Ms: entry.p50Ms - direct.p50Ms,
            addedP99Ms: entry.p99Ms - direct.p99Ms,
            passThroughAddedP99Ms: passThrough.p99Ms - direct.p99Ms,
        };
    }

    /** Measures the processor time that the entry and the sides spend on a completion of one token. */
    async measureProcessorTime(): Promise<OverheadReport["processorTime"]> {
        const timesMs = async () => ({
            entry: await this.testBed.entry.processorTimeMs(),
            sides: sum(await Promise.all(this.testBed.sides.map(side => side.processorTimeMs()))),
        });
        const before = await timesMs();
        const completedRequests = await this.requestRate("entry") * this.plan.phaseMs / MS_PER_S;
        const after = await timesMs();
        return {
            entryMsPerRequest: (after.entry - before.entry) / completedRequests,
            sideMsPerRequest: (after.sides - before.sides) / completedRequests,
        };
    }

    async close(): Promise<void> {
        await Promise.all(PATHS.map(path => this.clients[path].close()));
    }

    private async measureInRounds(measure: (path: Path) => Promise<number>): Promise<{ [path in Path]: RateRounds; }> {
        const rounds = { direct: new RateRounds(), passThrough: new RateRounds(), entry: new RateRounds() };
        for (let round = 0; round < this.plan.rounds; round += 1) {
            for (const path of PATHS) {
                rounds[path].add(await measure(path));
            }
        }
        return rounds;
    }

    private async requestRate(path: Path): Promise<number> {
        const ended = await this.closedLoop(() => this.clients[path].complete(1));
        return ended * MS_PER_S / this.plan.phaseMs;
    }

    private async tokenRate(path: Path): Promise<number> {
        const ended = await this.closedLoop(async () => {
            await this.clients[path].stream(STREAM_TOKENS);
        });
        return ended * STREAM_TOKENS * MS_PER_S / this.plan.phaseMs;
    }

    private closedLoop(call: () => Promise<void>): Promise<number> {
        return runClosedLoop({
            clock: this.clock,
            concurrency: CONCURRENCY,
            durationMs: this.plan.phaseMs,
            call: () => this.callCountingFailures(call),
        });
    }

    private firstTokenRound(path: Path, ratePerS: number, recorder: Recorder): Promise<void> {
        return runOpenLoop({
            clock: this.clock,
            arrivals: poissonArrivals({ ratePerS, durationMs: this.plan.phaseMs, random: this.random }),
            call: (_index, dueMs) =>
                this.callCountingFailures(async () => {
                    await this.clients[path].stream(STREAM_TOKENS, () => recorder.record(this.clock.nowMs() - dueMs));
                }),
        });
    }

    private async callCountingFailures(call: () => Promise<void>): Promise<void> {
        try {
            await call();
        }
        catch (error) {
            const reason = error instanceof Error ? error.message.slice(0, MAX_REASON_LENGTH) : String(error);
            this.failures[reason] = (this.failures[reason] ?? 0) + 1;
        }
    }
}

function sum(values: number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
