import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "../src/eventSplitter.js";

const STREAM = "id: 1\ndata: a\n\nid: 2\nx-weight-versions: 3\ndata: b\ndata: c\n\n";

test("returns complete events regardless of chunk boundaries", () => {
    const bytes = Buffer.from(STREAM);
    Array.from({ length: bytes.length }, (_, cut) => cut).forEach(cut => {
        const splitter = new EventSplitter();
        const events = [bytes.subarray(0, cut), bytes.subarray(cut)].flatMap(chunk => splitter.push(chunk));
        assert.deepEqual(events.map(({ id, data }) => [id, data]), [[1, "a"], [2, "b\nc"]]);
        assert.equal(Buffer.concat(events.map(event => event.bytes)).toString(), STREAM);
        assert.equal(splitter.hasPartialEvent, false);
    });
});

test("reports a partial event when a stream stops in the middle of one", () => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
    assert.equal(splitter.hasPartialEvent, true);
});
