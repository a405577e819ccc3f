import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PrefixIndex } from "../src/prefixIndex.js";
import { promptBlocksOf } from "../src/promptBlocksOf.js";

const SEED = 20_261_203;
const upstream = "upstream" as InstanceId;
const allBlocks = Array.from({ length: 8 }, (_, index) => `block-${index}`);

test("if events are late, repeated or lost, only blocks reported by the engine count as confirmed", () => {
    const event = fc.record({
        isStored: fc.boolean(),
        block: fc.constantFrom(...allBlocks),
        isLost: fc.boolean(),
        isRepeated: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(event, { maxLength: 60 }), events => {
            const index = new PrefixIndex({ maxBlocks: 100 });
            const cached = new Set<string>();
            let lostSinceLast = false;
            const unconfirmed = new Set<string>(allBlocks);
            events.forEach(({ isStored, block, isLost, isRepeated }, position) => {
                if (isStored) {
                    cached.add(block);
                }
                else {
                    cached.delete(block);
                }
                lostSinceLast ||= isLost;
                if (isLost) {
                    return;
                }
                if (lostSinceLast) {
                    allBlocks.forEach(other => unconfirmed.add(other));
                    lostSinceLast = false;
                }
                unconfirmed.delete(block);
                const kind = isStored ? "stored" as const : "evicted" as const;
                const change = { instanceId: upstream, sequenceNumber: position, kind, blockHashes: [block] };
                index.onCacheChange(change);
                if (isRepeated) {
                    index.onCacheChange({ ...change, kind: isStored ? "evicted" : "stored" });
                }
            });
            if (!lostSinceLast) {
                allBlocks
                    .filter(block => !unconfirmed.has(block))
                    .forEach(block => assert.equal(index.matchOf(upstream, [block]), cached.has(block) ? 1 : 0));
            }
            allBlocks
                .filter(block => unconfirmed.has(block) && !lostSinceLast)
                .forEach(block => assert.ok(index.matchOf(upstream, [block]) <= 0.5));
        }),
        { seed: SEED, numRuns: 500 },
    );
});

test("blocks of own choices count as 0.5, and the oldest blocks are evicted first", () => {
    const index = new PrefixIndex({ maxBlocks: 4 });
    index.recordChoice(upstream, ["a", "b"]);
    assert.equal(index.matchOf(upstream, ["a", "b", "c"]), 1);
    index.recordChoice(upstream, ["c", "d", "e"]);
    assert.equal(index.matchOf(upstream, ["a"]), 0);
    assert.equal(index.matchOf(upstream, ["b"]), 0.5);
});

test("prompts share as many leading blocks as they share whole blocks of text", () => {
    const shared = "x".repeat(640);
    const first = promptBlocksOf(`${shared}first`.padEnd(900, "1"));
    const second = promptBlocksOf(`${shared}second`.padEnd(900, "2"));
    assert.equal(first.findIndex((block, position) => block !== second[position]), 10);
});

test("an engine whose sequence numbers restart is assumed to have an empty cache", () => {
    const index = new PrefixIndex({ maxBlocks: 10 });
    const stored = (sequenceNumber: number, block: string) =>
        index.onCacheChange({ instanceId: upstream, sequenceNumber, kind: "stored", blockHashes: [block] });
    stored(5000, "old");
    stored(4999, "late");
    assert.deepEqual(["old", "late"].map(block => index.matchOf(upstream, [block])), [1, 0]);
    stored(1, "new");
    assert.deepEqual(["old", "new"].map(block => index.matchOf(upstream, [block])), [0, 1]);
});
