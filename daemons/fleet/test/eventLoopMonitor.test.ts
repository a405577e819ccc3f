import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLoopMonitor } from "../src/eventLoopMonitor.js";

// A process without enough processor time failed reads for 50 s, and its log did not say why.
test("warns at most once per interval when timers run late, and names the processor time used", async () => {
    const clock = new ManualClock();
    const warnings: { [field: string]: unknown; }[] = [];
    const logger: Logger = { ...silentLogger, warn: (event, fields) => warnings.push({ event, ...fields }) };
    let usedMs = 0;
    const monitor = new EventLoopMonitor({ clock, logger, processorMs: () => usedMs });
    const start = clock.nowMs();
    monitor.record(start);
    assert.deepEqual(warnings, []);
    await clock.advance(400);
    usedMs = 300;
    monitor.record(start + 100);
    await clock.advance(1000);
    monitor.record(start + 800);
    assert.deepEqual(warnings, [{ event: "event-loop-delayed", delayMs: 300, processorMs: 300 }]);
    await clock.advance(1000);
    usedMs = 1200;
    monitor.record(start + 2400);
    const second = { event: "event-loop-delayed", delayMs: 600, processorMs: 900, periodMs: 2000 };
    assert.deepEqual(warnings.at(-1), second);
    assert.equal(monitor.takeMaxDelayMs(), 600);
    assert.equal(monitor.takeMaxDelayMs(), 0);
});
