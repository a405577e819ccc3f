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

// A part of one byte kept an object of its own and the whole buffer alive into which it had been read. Two gateways ran out of
// memory within seconds by bodies in chunks of one byte, of which only the bytes were counted.
test("keeps no part itself, and tells how much memory the bytes take", () => {
    const readBuffer = Buffer.alloc(10_000, "a");
    const collector = new ByteCollector();
    readBuffer.forEach((_byte, index) => collector.append(readBuffer.subarray(index, index + 1)));
    readBuffer.fill("b");
    assert.ok(collector.toBuffer().every(byte => byte === "a".charCodeAt(0)), "the bytes are copies");
    assert.ok(collector.heldBytes >= collector.sizeBytes && collector.heldBytes <= 2 * collector.sizeBytes + 1024);
    const { blocks } = collector as unknown as { blocks: Buffer[]; };
    assert.equal(blocks.reduce((sum, block) => sum + block.buffer.byteLength, 0), collector.heldBytes);
});
