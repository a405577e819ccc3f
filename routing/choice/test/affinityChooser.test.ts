import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AffinityChooser } from "../src/affinityChooser.js";
import type { AffinityChooserOptions } from "../src/affinityChooserOptions.js";
import { RandomChooser } from "../src/randomChooser.js";
import type { UpstreamCandidate } from "../src/upstreamCandidate.js";
import type { UpstreamChooser } from "../src/upstreamChooser.js";
import { testCandidates } from "./testCandidates.js";

const SEED = 20_261_203;

function createChooser(opts: Partial<AffinityChooserOptions> = {}): AffinityChooser {
    return new AffinityChooser({
        entryId: "entry-1" as InstanceId,
        zone: "zone-a" as ZoneName,
        random: new SeededRandom(SEED),
        ...opts,
    });
}

/** Sends requests that stay in flight. @returns the number of requests at each candidate; shape [candidates] */
function fill(
    chooser: UpstreamChooser,
    candidates: UpstreamCandidate[],
    count: number,
    affinityKey?: string,
): number[] {
    const counts = new Map<InstanceId, number>();
    Array.from({ length: count }, () => {
        const chosen = chooser.choose({ candidates, affinityKey, nowMs: 0 })!;
        counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
    });
    return candidates.map(candidate => counts.get(candidate.instanceId) ?? 0);
}

test("an upstream that is leaving, without a link, excluded or of another role is never chosen", () => {
    const candidateFields = fc.record({
        zone: fc.constantFrom("zone-a", "zone-b"),
        state: fc.constantFrom("live", "leaving"),
        linkState: fc.constantFrom("connecting", "open", "suspect", "closed"),
        running: fc.nat(20),
        queued: fc.nat(20),
        role: fc.constantFrom("any", "prefill", "decode", undefined),
        isExcluded: fc.boolean(),
    });
    const request = fc.record({
        generated: fc.array(candidateFields, { maxLength: 12 }),
        role: fc.constantFrom("prefill" as const, "decode" as const, undefined),
        affinityKey: fc.option(fc.string(), { nil: undefined }),
        subsetSize: fc.integer({ min: 1, max: 12 }),
    });
    fc.assert(
        fc.property(request, ({ generated, role, affinityKey, subsetSize }) => {
            const candidates = generated.map((fields, index) => ({
                ...fields,
                instanceId: `upstream-${index}` as InstanceId,
                zone: fields.zone as ZoneName,
            }));
            const excluded = candidates.filter(candidate => candidate.isExcluded).map(candidate =>
                candidate.instanceId
            );
            const allowed = candidates
                .filter(candidate => candidate.state === "live" && !candidate.isExcluded)
                .filter(candidate => candidate.linkState === "open" || candidate.linkState === "suspect")
                .filter(candidate => role === undefined || [undefined, "any", role].includes(candidate.role));
            const chosen = createChooser({ subsetSize }).choose({
                candidates,
                affinityKey,
                role,
                excluded,
                nowMs: 0,
            });
            const chosenCandidate = allowed.find(candidate => candidate.instanceId === chosen);
            assert.equal(chosen !== undefined, allowed.length > 0);
            assert.ok(chosen === undefined || chosenCandidate !== undefined);
            if (allowed.some(candidate => candidate.linkState === "open")) {
                assert.equal(chosenCandidate?.linkState, "open");
            }
        }),
        { seed: SEED, numRuns: 500 },
    );
});

test("requests with one affinity key go to one upstream up to the load bound, and no upstream exceeds it", () => {
    const candidates = testCandidates(10);
    const counts = fill(createChooser(), candidates, 200, "shared prompt");
    assert.ok(Math.max(...counts) <= 200 / 10 * 1.6 + 2, `${counts}`);
    const light = fill(createChooser(), candidates, 1, "shared prompt");
    const again = fill(createChooser({ entryId: "entry-2" as InstanceId }), candidates, 1, "shared prompt");
    assert.deepEqual(light, again);
});

test("the less loaded of two choices has a lower peak load than random choice", () => {
    const candidates = testCandidates(20);
    const peak = (chooser: UpstreamChooser) => Math.max(...fill(chooser, candidates, 400));
    assert.ok(peak(createChooser()) <= 23);
    assert.ok(peak(new RandomChooser(new SeededRandom(SEED))) > 25);
});

test("requests leave the zone only if its load is well above that of the others", () => {
    const near = testCandidates(2, "zone-a");
    const far = testCandidates(2, "zone-b");
    const counts = fill(createChooser(), [...near, ...far], 2);
    assert.equal(counts[0] + counts[1], 2);
    const busy = near.map(candidate => ({ ...candidate, running: 50 }));
    const spilled = fill(createChooser(), [...busy, ...far], 20);
    assert.ok(spilled[2] + spilled[3] >= 18, `${spilled}`);
});

test("a newly joined upstream is not overloaded", () => {
    const chooser = createChooser();
    const old = testCandidates(10).map(candidate => ({ ...candidate, running: 5 }));
    chooser.choose({ candidates: old, nowMs: 0 });
    const joined = [
        ...old,
        ...testCandidates(1, "zone-new").map(candidate => ({ ...candidate, zone: "zone-a" as ZoneName })),
    ];
    const share = (nowMs: number) =>
        Array.from({ length: 300 }, () => {
            const chosen = chooser.choose({ candidates: joined, nowMs })!;
            chooser.observe({ instanceId: chosen, kind: "success", durationMs: 10, nowMs });
            return chosen;
        }).filter(chosen => chosen === joined[10].instanceId).length / 300;
    assert.ok(share(1) < 0.05);
    assert.ok(share(20_000) > 0.1);
});

test("an upstream that fails is ejected, retried gradually and restored once it works", () => {
    const chooser = createChooser();
    const candidates = testCandidates(4);
    const broken = candidates[0].instanceId;
    const run = (fromMs: number, untilMs: number, isBroken: boolean) => {
        let hits = 0;
        for (let nowMs = fromMs; nowMs < untilMs; nowMs += 10) {
            const chosen = chooser.choose({ candidates, nowMs })!;
            const kind = chosen === broken && isBroken ? "failure" : "success";
            hits += chosen === broken ? 1 : 0;
            chooser.observe({ instanceId: chosen, kind, durationMs: 10, nowMs });
        }
        return hits;
    };
    assert.ok(run(0, 10_000, true) < 30);
    run(10_000, 40_000, false);
    assert.ok(run(40_000, 50_000, false) > 150);
});

test("an upstream much slower than its peers is ejected", () => {
    const chooser = createChooser();
    const candidates = testCandidates(5);
    const slow = candidates[2].instanceId;
    const hits = Array.from({ length: 1000 }, (_, index) => {
        const chosen = chooser.choose({ candidates, nowMs: index * 10 })!;
        const durationMs = chosen === slow ? 500 : 20;
        chooser.observe({ instanceId: chosen, kind: "success", durationMs, nowMs: index * 10 });
        return chosen;
    }).filter(chosen => chosen === slow).length;
    assert.ok(hits < 60, `${hits} of 1000 went to the slow upstream`);
});

test("when all upstreams fail, half of them still get requests", () => {
    const chooser = createChooser();
    const candidates = testCandidates(4);
    const late = Array.from({ length: 400 }, (_, index) => {
        const chosen = chooser.choose({ candidates, nowMs: index })!;
        chooser.observe({ instanceId: chosen, kind: "failure", durationMs: 10, nowMs: index });
        return chosen;
    }).slice(200);
    assert.ok(new Set(late).size >= 2);
});
