import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import type { OverheadOptions } from "./overheadOptions.js";
import type { OverheadPlan } from "./overheadPlan.js";

const DEFAULT_SECONDS = 54;
const DEFAULT_ROUNDS = 3;
const DEFAULT_ENGINE_COUNT = 2;
const MS_PER_S = 1000;
/** Three measurements (requests/s, tokens/s, time to first token) on each of three paths. */
const PHASES_PER_ROUND = 9;

/** Applies the defaults to the options. Creates a temporary folder where none is given. */
export async function planOf(opts: OverheadOptions): Promise<OverheadPlan> {
    const rounds = opts.rounds ?? DEFAULT_ROUNDS;
    return {
        seed: opts.seed ?? 1,
        rounds,
        engineCount: opts.engineCount ?? DEFAULT_ENGINE_COUNT,
        folder: opts.folder ?? await mkdtemp(path.join(tmpdir(), "knapweed-overhead-")),
        isProfiled: opts.isProfiled ?? false,
        phaseMs: (opts.seconds ?? DEFAULT_SECONDS) * MS_PER_S / (rounds * PHASES_PER_ROUND),
    };
}
