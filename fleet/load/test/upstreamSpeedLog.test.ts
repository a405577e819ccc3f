// A line for each sample, or at each change of an upstream near a threshold, would fill the logs.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { UpstreamSpeedLog } from "../src/upstreamSpeedLog.js";
import type { UpstreamSpeeds } from "../src/upstreamSpeeds.js";

test("logs a speed that has crossed a threshold, not one that stays near it, at most each two seconds", async () => {
    const clock = new ManualClock();
    const lines: unknown[] = [];
    const state = { slowness: 1 };
    const speeds = {
        ids: () => ["u" as UpstreamId],
        lastingSlownessOf: () => state.slowness,
        slownessOf: () => 2,
        ageMs: () => 7,
    } as unknown as UpstreamSpeeds;
    const info = (event: string, fields?: { [field: string]: unknown; }) => lines.push([event, fields?.slowness]);
    const log = new UpstreamSpeedLog({ clock, logger: { ...silentLogger, info }, speeds });
    for (const slowness of [1, 1.6, 1.4, 1.8, 1.45, 1.6, 5, 1]) {
        state.slowness = slowness;
        log.review();
        log.review();
        await clock.advance(1000);
    }
    assert.deepEqual(lines, [["upstream-speed-changed", 1.8], ["upstream-speed-changed", 5]]);
});
