import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RendezvousSubset } from "../src/rendezvousSubset.js";
import { RingSubset } from "../src/ringSubset.js";

const SEED = 20_261_203;
const names = (prefix: string, count: number) =>
    Array.from({ length: count }, (_, index) => `${prefix}-${index}` as InstanceId);

test("the ring covers all upstreams evenly, for any number of entries and upstreams", () => {
    const sizes = fc.tuple(
        fc.integer({ min: 1, max: 30 }),
        fc.integer({ min: 1, max: 60 }),
        fc.integer({ min: 1, max: 20 }),
    );
    fc.assert(
        fc.property(sizes, ([entryCount, upstreamCount, subsetSize]) => {
            const entries = names("entry", entryCount);
            const upstreams = names("upstream", upstreamCount);
            const subsets = entries.map(entryId =>
                new RingSubset({ entryId, subsetSize, entries: () => entries }).subsetOf(upstreams)
            );
            subsets.forEach(subset => assert.equal(new Set(subset).size, Math.min(subsetSize, upstreamCount)));
            const covered = upstreams.map(upstream => subsets.filter(subset => subset.includes(upstream)).length);
            assert.ok(Math.max(...covered) - Math.min(...covered) <= 1);
        }),
        { seed: SEED, numRuns: 200 },
    );
});

test("with rendezvous hashing, a lost upstream removes at most that upstream from each entry's subset", () => {
    const upstreams = names("upstream", 40);
    names("entry", 20).forEach(entryId => {
        const policy = new RendezvousSubset({ entryId, subsetSize: 8 });
        const before = policy.subsetOf(upstreams);
        const after = policy.subsetOf(upstreams.slice(1));
        const lost = before.filter(upstream => !after.includes(upstream));
        assert.ok(lost.length === 0 || (lost.length === 1 && lost[0] === upstreams[0]));
    });
});
