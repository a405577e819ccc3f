// Each upstream answered some items with status 200 and a body that is no stream of events. These answers counted as failures
// of the upstreams, so all upstreams were ejected, and the other jobs waited.
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ItemRun } from "../src/itemRun.js";
import type { ItemRunOutcome } from "../src/itemRunOutcome.js";
import { OpenJob } from "../src/openJob.js";
import { recordDoubt } from "../src/recordDoubt.js";
import { recordUpstreamHealth } from "../src/recordUpstreamHealth.js";
import { createJobRecord } from "./createJobRecord.js";

const UPSTREAMS = ["a", "b", "c"] as UpstreamId[];
const NO_OUTPUT: ItemRunOutcome = { kind: "garbled", code: "ANSWER_WITHOUT_EVENTS" };
const BROKEN = { kind: "broken", code: "ECONNRESET", isUnreachable: false, isConnectionBroken: true } as const;

/** Plays the ends of runs of a few items, and shows which upstreams may still be used. */
class PlayedOutcomes {
    readonly items = new OpenJob(createJobRecord({ id: "j", itemCount: 3 })).items;
    private readonly health = new UpstreamHealth();
    private nowMs = 1000;

    end(index: number, upstreamId: UpstreamId, outcome: ItemRunOutcome, eventCount = 0): void {
        this.nowMs += 100;
        const upstream = { id: upstreamId } as ItemRun["upstream"];
        recordUpstreamHealth(this.health, upstreamId, outcome, this.nowMs);
        recordDoubt(this.health, { item: this.items[index]!, upstream, eventCount }, outcome, this.nowMs);
    }

    usable(): UpstreamId[] {
        return UPSTREAMS.filter(id => this.health.isUsable(id, this.nowMs, 1));
    }
}

test("items that get no output from any upstream eject none", () => {
    const played = new PlayedOutcomes();
    Array.from({ length: 20 }).forEach(() =>
        played.items.forEach((_, index) => UPSTREAMS.forEach(id => played.end(index, id, NO_OUTPUT)))
    );
    assert.deepEqual(played.usable(), UPSTREAMS);
});

test("an upstream that gives no output for items which others complete is ejected", () => {
    const played = new PlayedOutcomes();
    const [faulty, sound] = UPSTREAMS as [UpstreamId, UpstreamId];
    [0, 1].forEach(index => {
        played.end(index, faulty, NO_OUTPUT);
        assert.deepEqual(played.usable(), UPSTREAMS, "it isn't known yet whether the item is at fault");
    });
    played.end(0, sound, { kind: "completed" }, 5);
    played.end(1, sound, BROKEN, 2);
    assert.deepEqual(played.usable(), UPSTREAMS.slice(1));
});

test("a run that is broken off before its first event settles no doubt", () => {
    const played = new PlayedOutcomes();
    const [faulty, sound] = UPSTREAMS as [UpstreamId, UpstreamId];
    [0, 1, 2].forEach(index => {
        played.end(index, faulty, NO_OUTPUT);
        played.end(index, sound, index === 0 ? BROKEN : { kind: "not-run", isMisdirected: false });
    });
    assert.deepEqual(played.usable(), UPSTREAMS);
});
