import { parseArgs } from "node:util";
import type { ArmName } from "./armName.js";
import { benchStepModel } from "./benchStepModel.js";
import { simulateMixed } from "./simulateMixed.js";
import { steepStepModel } from "./steepStepModel.js";
import { summarizeLatencies } from "./summarizeLatencies.js";

// node simulateMain.js [--seconds N] [--seeds 1,2,3] [--objective MS] [--balance SHARE] [--arms abcd] [--steep]
const MS_PER_SECOND = 1000;
const ENGINES = 6;

const { values } = parseArgs({
    options: {
        seconds: { type: "string", default: "40" },
        seeds: { type: "string", default: "1,2,3,4" },
        objective: { type: "string", default: "70" },
        balance: { type: "string", default: "1" },
        arms: { type: "string", default: "ad" },
        steep: { type: "boolean", default: false },
    },
});
const durationMs = Number(values.seconds) * MS_PER_SECOND;
const seeds = values.seeds.split(",").map(Number);
const names = [...values.arms] as ArmName[];
const simulations = await Promise.all(
    seeds.map(seed =>
        simulateMixed({
            seed,
            durationMs,
            engines: ENGINES,
            stepModel: values.steep ? steepStepModel : benchStepModel,
            tokenGapObjectiveMs: Number(values.objective),
            batchBalance: Number(values.balance),
            arms: names,
        })
    ),
);
const pooledOf = (name: ArmName) =>
    summarizeLatencies(
        simulations.flatMap(({ arms }) => arms[name]?.firstTokenMs.flatMap(timeMs => timeMs ?? []) ?? []),
    );
const gapsOf = (name: ArmName) => simulations.map(({ arms }) => arms[name]?.tokenGap.p99Ms ?? 0);
const rows = names.map(name => ({
    arm: name,
    firstTokenP50Ms: pooledOf(name).p50Ms,
    firstTokenP99Ms: pooledOf(name).p99Ms,
    firstTokenP99Ratio: pooledOf(name).p99Ms / pooledOf("a").p99Ms,
    tokenGapP99Ratios: gapsOf(name).map((gapMs, index) => gapMs / (gapsOf("a")[index] ?? 0)),
    shares: simulations.map(({ arms, boundTokens }) => (arms[name]?.totals.batchDecodeTokens ?? 0) / boundTokens),
    batchTokensPerSecond: simulations.map(({ arms }) =>
        (arms[name]?.totals.batchDecodeTokens ?? 0) / Number(values.seconds)
    ),
    preemptions: simulations.map(({ arms }) => arms[name]?.totals.batchCancelled ?? 0),
}));
process.stdout.write(`${JSON.stringify(rows, undefined, 4)}\n`);
