import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { UsageMeter } from "../src/usageMeter.js";

const region = "tt-north" as RegionName;
const cellar = "cellar" as TeamId;
const DAY = "2026-12-03";

test("usage is summed over processes and survives restarts, an outage and lost responses", async () => {
    const clock = new ManualClock(Date.parse(`${DAY}T12:00:00Z`));
    const keyValue = new MemoryKeyValueService({ clock });
    const create = (processName: string) =>
        new UsageMeter({ keyValue, clock, logger: silentLogger, region, processName });
    const first = create("entry-1.1");
    first.start();
    first.record({ teamId: cellar, calls: 1, promptTokens: 10, completionTokens: 5 });
    keyValue.faults.outage = true;
    await clock.advance(40_000);
    keyValue.faults.outage = false;
    first.record({ teamId: cellar, items: 2 });
    keyValue.faults.loseNextResponses(1);
    await clock.advance(40_000);
    await first.stop();
    const second = create("entry-1.2");
    second.record({ teamId: cellar, calls: 1 });
    second.record({ teamId: "desk" as TeamId, calls: 7 });
    const usage = await second.usageOfDay(DAY);
    assert.deepEqual(usage.get(cellar), { calls: 2, items: 2, promptTokens: 10, completionTokens: 5 });
    assert.equal(usage.get("desk" as TeamId)?.calls, 7);
});

test("a killed process loses the usage of half a minute at most, and each day is counted separately", async () => {
    const clock = new ManualClock(Date.parse(`${DAY}T23:59:00Z`));
    const keyValue = new MemoryKeyValueService({ clock });
    const killed = new UsageMeter({ keyValue, clock, logger: silentLogger, region, processName: "entry-1.1" });
    killed.start();
    killed.record({ teamId: cellar, calls: 1 });
    await clock.advance(31_000);
    killed.record({ teamId: cellar, calls: 1 });
    await clock.advance(30_000);
    killed.record({ teamId: cellar, calls: 5 });
    const reader = new UsageMeter({ keyValue, clock, logger: silentLogger, region, processName: "entry-2.1" });
    assert.equal((await reader.usageOfDay(DAY)).get(cellar)?.calls, 2);
    assert.equal((await reader.usageOfDay("2026-12-04")).get(cellar), undefined);
    await clock.advance(31_000);
    assert.equal((await reader.usageOfDay("2026-12-04")).get(cellar)?.calls, 5);
    await killed.stop();
});
