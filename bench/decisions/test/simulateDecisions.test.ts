import assert from "node:assert/strict";
import { test } from "node:test";
import { compareDecisions } from "../src/compareDecisions.js";
import type { DecisionFigures } from "../src/decisionFigures.js";
import { loadPatterns } from "../src/loadPatterns.js";
import { simulateDecisions } from "../src/simulateDecisions.js";

const figures = compareDecisions({ seed: 1, seeds: 3 });

function figuresOf(load: string, policy: DecisionFigures["policy"]): DecisionFigures {
    return figures.find(figure => figure.load === load && figure.policy === policy)!;
}

test("calls are worth at least as much under every load as with a plain forwarder or first come, first served", () => {
    const worse = loadPatterns.flatMap(({ name }) =>
        ["first-come", "forwarder"].filter(policy =>
            figuresOf(name, policy).meanValue > figuresOf(name, "ours").meanValue
        )
    );
    assert.deepEqual(worse, []);
});

test("all calls are on time again within two seconds after an overload", () => {
    const slow = figures.filter(figure => figure.policy === "ours" && figure.recoveryMs > 2000);
    assert.deepEqual(slow, []);
});

test("late requests don't delay others: under overload more are on time than with first come, first served", () => {
    ["twice the usual", "four times the usual", "twice the usual, a third of the engines lost"].forEach(load => {
        assert.ok(figuresOf(load, "ours").onTimeShare > figuresOf(load, "first-come").onTimeShare, load);
    });
});

test("the same seed gives the same figures", () => {
    const [load] = loadPatterns;
    const simulate = () => simulateDecisions({ policy: "ours", load: load!, seed: 7 });
    assert.deepEqual(simulate(), simulate());
});
