import assert from "node:assert/strict";
import { test } from "node:test";
import { Chart } from "../src/chart.js";

const door = new Chart<"open" | "shut" | "gone", "close" | "open" | "remove">({
    id: "door",
    initial: "shut",
    states: {
        open: { on: { close: { target: "shut" } } },
        shut: { on: { open: { target: "open" }, remove: { target: "gone" } } },
        gone: { type: "final" },
    },
});

test("an event changes the state", () => {
    assert.equal(door.initial, "shut");
    assert.equal(door.next("shut", "open"), "open");
    assert.equal(door.isFinal(door.next("shut", "remove")), true);
    assert.deepEqual(door.events("shut"), ["open", "remove"]);
});

test("an event that the state doesn't accept is rejected", () => {
    assert.throws(() => door.next("open", "remove"), { code: "ERR_KNAPWEED_CHART_EVENT_REFUSED" });
});
