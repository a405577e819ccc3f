import assert from "node:assert/strict";
import { test } from "node:test";
import { loadPatterns } from "../src/loadPatterns.js";
import { simulateDecisions } from "../src/simulateDecisions.js";
import type { TeamFigures } from "../src/teamFigures.js";
import { teamLoadsOf } from "../src/teamLoadsOf.js";

const TEAMS = 20;
/** Fewer calls differ by more than the bound by chance, in one of 19 teams. */
const SEEDS = 10;
const STEP_MS = 2000;
const pattern = loadPatterns.find(load => load.teams !== undefined)!;
const isInMeasuredSpan = (nowMs: number) => nowMs >= pattern.fromMs && nowMs < pattern.toMs;

/** Returns the figures of each team over several seeds, shape [teams]. */
function figuresOf(teams: typeof pattern.teams, seeds: number): TeamFigures[] {
    const runs = Array.from(
        { length: seeds },
        (_, index) => simulateDecisions({ policy: "ours", load: { ...pattern, teams }, seed: index + 1 }).teams,
    );
    return runs[0]!.map((first, team) => {
        const sumOf = (name: "calls" | "onTime" | "served" | "refused") =>
            runs.reduce((sum, run) => sum + run[team]![name], 0);
        return { ...first, calls: sumOf("calls"), onTime: sumOf("onTime"), served: sumOf("served"), refused: 0 };
    });
}

function assertQuarterOfAll(teams: TeamFigures[]): void {
    const servedShare = (figures: TeamFigures[]) =>
        figures.reduce((sum, one) => sum + one.served, 0) / figures.reduce((sum, one) => sum + one.calls, 0);
    const all = servedShare(teams);
    teams.forEach(team =>
        assert.ok(servedShare([team]) >= all / 4, `${team.teamId}: ${servedShare([team])} of ${all}`)
    );
}

// Two teams at six times their usual rate made every team's calls late.
test("a team at seven times its usual rate slows only itself, and still gets its share", () => {
    const { ratePerSecond } = pattern.teams![1]!;
    const usual = figuresOf(pattern.teams!.map(load => ({ ...load, ratePerSecond })), SEEDS);
    const [heavy, ...others] = figuresOf(pattern.teams, SEEDS);
    const differences = others.map((team, index) => {
        const without = usual[index + 1]!;
        return without.onTime / without.calls - team.onTime / team.calls;
    });
    assert.ok(Math.max(...differences) <= 0.03, differences.map(one => one.toFixed(3)).join(" "));
    const all = [heavy!, ...others].reduce((sum, team) => sum + team.served, 0);
    assert.ok(heavy!.served >= all / TEAMS, `${heavy!.served} of ${all}`);
});

// All teams exceed the slots together, in steps that are shorter than what the queue remembers.
test("under steps of 1.85 times the usual rate, no team is served less than a quarter as often as all", () => {
    const rateFactor = (_: number, nowMs: number) =>
        isInMeasuredSpan(nowMs) && nowMs % (2 * STEP_MS) < STEP_MS ? 1.85 : 1;
    assertQuarterOfAll(figuresOf(teamLoadsOf({ count: TEAMS, rateFactor }), 2));
});

// Strict priority would leave nothing to a less urgent team while others exceed the slots.
test("teams of priority 2 are served at least a quarter as often as all", () => {
    const rateFactor = (_: number, nowMs: number) => isInMeasuredSpan(nowMs) ? 1.85 : 1;
    const priority = (index: number) => index < 5 ? 2 : 0;
    assertQuarterOfAll(figuresOf(teamLoadsOf({ count: TEAMS, rateFactor, priority }), 2));
});
