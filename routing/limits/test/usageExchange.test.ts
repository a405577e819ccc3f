import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Link } from "@knapweedwood/links.calls/link";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DemandShares } from "../src/demandShares.js";
import { UsageExchange } from "../src/usageExchange.js";
import type { UsageReport } from "../src/usageReport.js";

const REPORT_INTERVAL_MS = 500;
const team = "team" as TeamId;

test("entries receive each other's demand once per report, and sides receive nothing", async () => {
    const clock = new ManualClock();
    const receivers: ((report: UsageReport) => void)[] = [];
    let sideReports = 0;
    const shares = ["entry-0", "entry-1"].map(name =>
        new DemandShares({
            entryId: name as InstanceId,
            entryCount: () => 2,
            reportIntervalMs: REPORT_INTERVAL_MS,
        })
    );
    const linkTo = (entry: number) => ({
        peer: { instanceId: `entry-${entry}`, kind: "entry" },
        notify: (_: unknown, report: UsageReport) => receivers[entry](report),
    });
    const sideLink = { peer: { instanceId: "side", kind: "side" }, notify: () => sideReports += 1 };
    const dialed: string[] = [];
    const entries = [0, 1].map(entry => ({ instanceId: `entry-${entry}` as InstanceId, address: `address-${entry}` }));
    const endpointOf = (entry: number) => ({
        identity: { instanceId: `entry-${entry}` },
        connect: (address: string) => dialed.push(`${entry} to ${address}`),
        links: () => [linkTo(1 - entry), linkTo(1 - entry), sideLink] as unknown as Link[],
        handleNotification: (_: unknown, receiver: (report: UsageReport) => void) => receivers[entry] = receiver,
    });
    const exchanges = shares.map((entryShares, entry) =>
        new UsageExchange({
            endpoint: endpointOf(entry) as unknown as LinkEndpoint,
            shares: entryShares,
            clock,
            reportIntervalMs: REPORT_INTERVAL_MS,
            entries: () => entries,
        })
    );
    exchanges.forEach(exchange => exchange.start());
    for (let step = 0; step < 300; step += 1) {
        shares[0].onDemand(team, 0.03, clock.nowMs());
        shares[1].onDemand(team, 0.01, clock.nowMs());
        await clock.advance(10);
    }
    exchanges.forEach(exchange => exchange.stop());
    const parts = shares.map(entryShares => entryShares.shareOf(team, clock.nowMs()));
    assert.ok(Math.abs(parts[0] - (0.05 + 0.9 * 0.75)) < 0.02, `${parts}`);
    assert.ok(Math.abs(parts[1] - (0.05 + 0.9 * 0.25)) < 0.02, `${parts}`);
    assert.equal(sideReports, 0);
    assert.deepEqual([...new Set(dialed)], ["1 to address-0"]);
});
