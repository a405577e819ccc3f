import type { TeamId } from "@knapweedwood/core.ids/teamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryBudget } from "../src/memoryBudget.js";
import { MemoryReservation } from "../src/memoryReservation.js";

const HEAVY = "heavy" as TeamId;
const OTHER = "other" as TeamId;

// A team whose callers send large bodies or stop reading filled the memory of a gateway, and the process ended.
test("a team holds at most half of the budget, and the others have the rest", () => {
    const budget = new MemoryBudget({ limitBytes: 100 });
    assert.equal(budget.tryAdd(HEAVY, 50), true);
    assert.equal(budget.tryAdd(HEAVY, 1), false);
    assert.equal(budget.tryAdd(OTHER, 50), true);
    assert.equal(budget.tryAdd(undefined, 1), false);
    budget.remove(HEAVY, 50);
    assert.equal(budget.heldBytesOf(HEAVY), 0);
    assert.equal(budget.tryAdd(undefined, 50), true);
});

test("a reservation counts the request and the unsent part of the response, and releases both once", () => {
    const budget = new MemoryBudget({ limitBytes: 100 });
    const reservation = new MemoryReservation({ budget, teamId: undefined });
    assert.equal(reservation.tryAddRequestBytes(30), true);
    assert.equal(reservation.trySetResponseBytes(60), true);
    assert.equal(reservation.trySetResponseBytes(80), false);
    assert.equal(reservation.trySetResponseBytes(10), true);
    assert.equal(budget.heldBytes, 40);
    reservation.release();
    reservation.release();
    assert.equal(budget.heldBytes, 0);
});
