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

// An upstream may send an event that never ends. All of it was kept, and read again from its start with each chunk.
const MIB = 1024 * 1024;

test("stops at an event that is too large, complete or not, after the events before it", () => {
    [["data: ", "x".repeat(2 * MIB)], [`data: ${"x".repeat(2 * MIB)}`, "\n\n", "id: 3\ndata: c\n\n"]].forEach(rest => {
        const splitter = new EventSplitter();
        const events = ["id: 1\ndata: a\n\nid: 2\n", ...rest].flatMap(chunk => splitter.push(Buffer.from(chunk)));
        assert.deepEqual([events.map(({ id }) => id), splitter.isOverLimit], [[1], true]);
    });
});

test("returns a large event, also in chunks of one byte", () => {
    const data = "x".repeat(MIB - 1024);
    const bytes = Buffer.from(`id: 1\ndata: ${data}\n\n`);
    const splitter = new EventSplitter();
    const events = Array.from(bytes, (_, index) => bytes.subarray(index, index + 1))
        .flatMap(chunk => splitter.push(chunk));
    assert.ok(events.length === 1 && events[0]!.data === data && events[0]!.bytes.equals(bytes));
    assert.deepEqual([splitter.isOverLimit, splitter.hasPartialEvent], [false, false]);
});

test("returns any number of events", () => {
    const splitter = new EventSplitter();
    const chunk = Buffer.from(`data: ${"x".repeat(1024)}\n\n`.repeat(64));
    const counts = Array.from({ length: 64 }, () => splitter.push(chunk).length);
    assert.deepEqual([new Set(counts), splitter.isOverLimit], [new Set([64]), false]);
});

test("an event ends after a line feed and a blank line, wherever the chunks are cut", () => {
    const LENGTH = 7;
    const texts = Array.from(
        { length: 3 ** LENGTH },
        (_, number) =>
            Array.from({ length: LENGTH }, (_unused, digit) => "\n\ra"[Math.floor(number / 3 ** digit) % 3]).join(""),
    );
    texts.forEach(text => {
        const expected = text.match(/[^]*?\n\r?\n/gu) ?? [];
        Array.from({ length: LENGTH }, (_, cut) => cut).forEach(cut => {
            const splitter = new EventSplitter();
            const events = [text.slice(0, cut), text.slice(cut)].flatMap(part => splitter.push(Buffer.from(part)));
            assert.deepEqual(events.map(({ bytes }) => bytes.toString()), expected, JSON.stringify({ text, cut }));
            const rest = text.slice(expected.join("").length);
            assert.equal(splitter.hasPartialEvent, rest.includes("a"), JSON.stringify({ text, cut }));
        });
    });
});
