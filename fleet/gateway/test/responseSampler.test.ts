// A chunk may hold several events or a part of one, and a caller that reads slowly delays the events of a fast upstream.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ResponseSampler } from "../src/responseSampler.js";

function setUp(isStream: boolean) {
    const clock = new ManualClock();
    const samples: unknown[] = [];
    const speeds = {
        recordFirstData: (_: Upstream, sentAtMs: number) => samples.push(["first", sentAtMs]),
        recordEvents: (_: Upstream, count: number, sinceMs: number) => samples.push([count, sinceMs]),
        recordHold: (_: Upstream, sentAtMs: number, ofStream: boolean) => samples.push(["hold", sentAtMs, ofStream]),
    } as unknown as UpstreamSpeeds;
    const sampler = new ResponseSampler({ clock, speeds, upstream: {} as Upstream, isStream });
    const receive = async (text: string) => {
        await clock.advance(10);
        sampler.onData(Buffer.from(text));
    };
    return { samples, sampler, receive };
}

test("samples are gaps between complete events, except where the caller delayed them", async () => {
    const { samples, sampler, receive } = setUp(true);
    await receive("data: a");
    await receive("b\n\n");
    await receive("data: c\n\ndata: d\n\ndata:");
    sampler.onPaused();
    await receive("e\n\n");
    await receive("data: f\n\n");
    sampler.onEnd();
    assert.deepEqual(samples, [["first", 0], [2, 20], [1, 40], ["hold", 0, true]]);
});

test("of a response that isn't a stream, the whole time is the sample", async () => {
    const { samples, sampler, receive } = setUp(false);
    await receive("a\n\n");
    sampler.onEnd();
    assert.deepEqual(samples, [["hold", 0, false]]);
});
