// A belief about a restarted upstream, or about parts after a missing one, promises savings that don't exist.
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PromptCacheCost } from "../src/promptCacheCost.js";
import { PromptCacheIndex } from "../src/promptCacheIndex.js";
import { promptKeysOf } from "../src/promptKeysOf.js";
import { upstreamOf } from "./upstreamOf.js";

const partsOf = (tokensById: { [id: string]: number; }) =>
    Object.entries(tokensById).map(([id, tokens]) => ({ id: id as PromptPartId, tokens }));
const upstream = upstreamOf("u1");
const upstreams = [upstream, upstreamOf("u2"), upstreamOf("u3")];
const speeds = { firstDataMs: () => 60, slownessOf: () => 1 } as Partial<UpstreamSpeeds> as UpstreamSpeeds;

test("parts count up to the first one that is missing, and only for the process that read them", () => {
    const index = new PromptCacheIndex({ processes: () => 1 });
    index.add(upstream, promptKeysOf(partsOf({ a: 100, b: 50, c: 10 })));
    const keptOf = (tokensById: { [id: string]: number; }, startedAtMs = 1) =>
        index.keptTokens({ id: upstream.id, startedAtMs }, promptKeysOf(partsOf(tokensById)));
    assert.equal(keptOf({ a: 100, b: 50, d: 10 }), 150);
    assert.equal(keptOf({ a: 100, x: 5, b: 50 }), 100);
    assert.equal(keptOf({ b: 50, c: 10 }), 0);
    assert.equal(keptOf({ a: 100 }, 2), 0, "the upstream has restarted");
    index.add({ id: upstream.id, startedAtMs: 2 }, promptKeysOf(partsOf({ e: 7 })));
    index.add(upstream, promptKeysOf(partsOf({ a: 100 })));
    assert.deepEqual([keptOf({ a: 100 }), keptOf({ e: 7 }, 2)], [0, 7], "a late response of the old process");
    index.forget(upstream.id);
    assert.equal(keptOf({ e: 7 }, 2), 0);
});

test("the least recently used parts are forgotten first, down to this process's share of the tokens", () => {
    const index = new PromptCacheIndex({ processes: () => 4 });
    const prompts = ["a", "b", "a", "c"].map(id => promptKeysOf(partsOf({ [id]: 7000 })));
    prompts.forEach(prompt => index.add(upstream, prompt));
    assert.deepEqual(prompts.map(prompt => index.keptTokens(upstream, prompt)), [7000, 0, 7000, 7000]);
});

test("the cost is 0 until the reading time is known, then a saving below the cost of one request", () => {
    const cost = new PromptCacheCost({ speeds, usableUpstreams: () => upstreams, processes: () => 1 });
    const costsOf = (tokensById: { [id: string]: number; }) =>
        upstreams.map(each => cost.costOf(each, { promptParts: partsOf(tokensById), objectiveAtMs: 0 }));
    Array.from({ length: 64 }).forEach((_, index) => {
        assert.ok(index >= 48 || costsOf({ a: 400, own: 1 }).every(each => each === 0), `${index}`);
        // A few responses are late for other reasons.
        const tokens = 1000 + index;
        cost.begin(upstream, partsOf({ [`s${index}`]: tokens })).onBegun(
            20 + tokens * 0.01 + (index % 9 === 0 ? 500 : 0),
        );
    });
    cost.begin(upstream, partsOf({ a: 400, b: 1 })).onBegun(24);
    const [saved, ...others] = costsOf({ a: 400, own: 1 });
    assert.ok(
        saved! <= -3.5 && saved! >= -6.5 && others.some(other => other < 0 && other > -3.5),
        `${saved} ${others}`,
    );
    cost.begin(upstream, partsOf({ long: 50_000, b: 1 })).onBegun(520);
    assert.equal(costsOf({ long: 50_000, b: 1 })[0], -12, "0.6 of the cost of a request, 60 / 3 ms");
    assert.ok(costsOf({}).every(each => each === 0));
});
