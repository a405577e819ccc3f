import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PrefixIndex } from "../src/prefixIndex.js";
import { promptBlocksOf } from "../src/promptBlocksOf.js";

const SEED = 20_261_203;
const upstream = "upstream" as InstanceId;
const allBlocks = Array.from({ length: 8 }, (_, index) => `block-${index}`);

test("with events that come late, twice or not at all, only what the engine has said is confirmed", () => {
    const event = fc.record({
        isStored: fc.boolean(),
        block: fc.constantFrom(...allBlocks),
        isLost: fc.boolean(),
        isRepeated: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(event, { maxLength: 60 }), events => {
            const index = new PrefixIndex({ maxBlocks: 100 });
            const truth = new Set<string>();
            let lostSinceLast = false;
            const unsure = new Set<string>(allBlocks);
            events.forEach(({ isStored, block, isLost, isRepeated }, position) => {
                if (isStored) {
                    truth.add(block);
                }
                else {
                    truth.delete(block);
                }
                lostSinceLast ||= isLost;
                if (isLost) {
                    return;
                }
                if (lostSinceLast) {
                    allBlocks.forEach(one => unsure.add(one));
                    lostSinceLast = false;
                }
                unsure.delete(block);
                const kind = isStored ? "stored" as const : "evicted" as const;
                const change = { instanceId: upstream, sequenceNumber: position, kind, blockHashes: [block] };
                index.onCacheChange(change);
                if (isRepeated) {
                    index.onCacheChange({ ...change, kind: isStored ? "evicted" : "stored" });
                }
            });
            if (!lostSinceLast) {
                allBlocks
                    .filter(block => !unsure.has(block))
                    .forEach(block => assert.equal(index.matchOf(upstream, [block]), truth.has(block) ? 1 : 0));
            }
            allBlocks
                .filter(block => unsure.has(block) && !lostSinceLast)
                .forEach(block => assert.ok(index.matchOf(upstream, [block]) <= 0.5));
        }),
        { seed: SEED, numRuns: 500 },
    );
});

test("own choices count a half, the oldest blocks are forgotten first", () => {
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

test("an engine that numbers its events afresh is taken to hold nothing of before", () => {
    const index = new PrefixIndex({ maxBlocks: 10 });
    const stored = (sequenceNumber: number, block: string) =>
        index.onCacheChange({ instanceId: upstream, sequenceNumber, kind: "stored", blockHashes: [block] });
    stored(5000, "old");
    stored(4999, "late");
    assert.deepEqual(["old", "late"].map(block => index.matchOf(upstream, [block])), [1, 0]);
    stored(1, "new");
    assert.deepEqual(["old", "new"].map(block => index.matchOf(upstream, [block])), [0, 1]);
});
