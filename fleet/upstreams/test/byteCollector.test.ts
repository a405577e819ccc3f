// A body in chunks of one byte took over a hundred times its size in memory.
import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteCollector } from "../src/byteCollector.js";

test("returns the bytes in order, however many parts they arrive in", () => {
    const whole = Buffer.from(Array.from({ length: 5000 }, (_, index) => index % 251));
    [1, 2, 7, 1023, 1024, 1025, 5000].forEach(partLength => {
        const collector = new ByteCollector();
        Array.from({ length: Math.ceil(whole.length / partLength) }, (_, index) => index * partLength)
            .forEach(start => collector.append(whole.subarray(start, start + partLength)));
        assert.deepEqual(collector.toBuffer(), whole);
        assert.equal(collector.sizeBytes, whole.length);
    });
});

test("collects anew after it was cleared", () => {
    const collector = new ByteCollector();
    Array.from({ length: 2000 }).forEach(() => collector.append(Buffer.from("a")));
    collector.clear();
    collector.append(Buffer.from("b"));
    assert.deepEqual([collector.toBuffer().toString(), collector.sizeBytes], ["b", 1]);
});
