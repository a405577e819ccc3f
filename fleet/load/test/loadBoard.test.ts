import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LoadBoard } from "../src/loadBoard.js";
import type { LoadReport } from "../src/loadReport.js";

const id = "u" as UpstreamId;

function reportOf(change: Partial<LoadReport>): LoadReport {
    return {
        instanceName: "other" as InstanceName,
        startedAtMs: 1,
        sequence: 1,
        isInTouch: true,
        ejected: [],
        counts: [{ upstreamId: id, online: 3, batch: 1 }],
        waiting: [],
        configurationRevision: 0,
        jobsRevision: 0,
        upstreamsRevision: 0,
        leader: undefined,
        ...change,
    };
}

test("own and reported requests add up", () => {
    const board = new LoadBoard();
    board.count(id, "online", 1);
    board.receive(reportOf({}), 0);
    board.receive(reportOf({ instanceName: "third" as InstanceName }), 0);
    assert.deepEqual([board.online(id), board.batch(id)], [7, 2]);
});

test("a report that was overtaken changes nothing, one of a new start counts", () => {
    const board = new LoadBoard();
    board.receive(reportOf({ sequence: 5 }), 0);
    assert.equal(board.receive(reportOf({ sequence: 4, counts: [] }), 0), false);
    assert.equal(board.online(id), 3);
    assert.equal(board.receive(reportOf({ startedAtMs: 2, sequence: 1, counts: [] }), 0), true);
    assert.equal(board.online(id), 0);
});

test("a process that fell silent counts as gone", () => {
    const board = new LoadBoard();
    board.receive(reportOf({}), 0);
    board.expire(5000);
    assert.equal(board.online(id), 0);
});

test("a process knows whether the key-value service answers others", () => {
    const board = new LoadBoard();
    assert.equal(board.isAnyoneInTouch(), false);
    board.receive(reportOf({ isInTouch: false }), 0);
    assert.equal(board.isAnyoneInTouch(), false);
    board.receive(reportOf({ instanceName: "third" as InstanceName }), 0);
    assert.equal(board.isAnyoneInTouch(), true);
    board.expire(5000);
    assert.equal(board.isAnyoneInTouch(), false);
});
