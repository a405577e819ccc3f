import assert from "node:assert/strict";
import { test } from "node:test";
import { createMeasurement } from "../src/createMeasurement.js";
import { fillPage } from "../src/fillPage.js";

test("the slope of points on a line is that of the line", () => {
    const points = [10, 40, 160].map(size => ({ size, value: 3 + 2 * size }));
    const { slope, intercept } = createMeasurement({ name: "n", sizeUnit: "s", unit: "u", conditions: "c", points });
    assert.ok(Math.abs(slope - 2) < 1e-9 && Math.abs(intercept - 3) < 1e-9);
});

test("tables are put in their places, again and again", () => {
    const page = "before\n<!-- table a -->\nold\n<!-- end a -->\nafter <!-- table b --><!-- end b -->";
    const tables = new Map([["a", "| new |"], ["b", "other"], ["absent", "x"]]);
    const filled = fillPage(page, tables);
    assert.match(filled, /before\n<!-- table a -->\n\n\| new \|\n\n<!-- end a -->\nafter/u);
    assert.doesNotMatch(filled, /old|absent/u);
    assert.equal(fillPage(filled, tables), filled);
});
