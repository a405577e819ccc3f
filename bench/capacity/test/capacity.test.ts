import assert from "node:assert/strict";
import { test } from "node:test";
import { createMeasurement } from "../src/createMeasurement.js";
import { fillPage } from "../src/fillPage.js";
import { valueAt } from "../src/valueAt.js";

test("createMeasurement finds the slope and intercept of points on a line", () => {
    const points = [10, 40, 160].map(size => ({ size, value: 3 + 2 * size }));
    const { slope, intercept } = createMeasurement({ name: "n", sizeUnit: "s", unit: "u", conditions: "c", points });
    assert.ok(Math.abs(slope - 2) < 1e-9 && Math.abs(intercept - 3) < 1e-9);
});

test("fillPage fills each placeholder and gives the same page when run again", () => {
    const page = "before\n<!-- table a -->\nold\n<!-- end a -->\nafter <!-- table b --><!-- end b -->";
    const tables = new Map([["a", "| new |"], ["b", "other"], ["absent", "x"]]);
    const filled = fillPage(page, tables);
    assert.match(filled, /before\n<!-- table a -->\n\n\| new \|\n\n<!-- end a -->\nafter/u);
    assert.doesNotMatch(filled, /old|absent/u);
    assert.equal(fillPage(filled, tables), filled);
});

test("valueAt interpolates between sizes and extrapolates beyond them", () => {
    const points = [{ size: 10, value: 10 }, { size: 40, value: 40 }, { size: 160, value: 64 }];
    const measured = createMeasurement({ name: "n", sizeUnit: "s", unit: "u", conditions: "c", points });
    assert.deepEqual([5, 10, 25, 100, 160].map(size => valueAt(measured, size)), [5, 10, 25, 52, 64]);
    assert.equal(valueAt(measured, 170), 64 + 10 * measured.slope);
});
