import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ItemRoutes } from "../src/itemRoutes.js";
import { OpenJob } from "../src/openJob.js";
import { createJobRecord } from "./createJobRecord.js";

const SERVICE = "s" as ServiceName;
/** Time for which a route has to be missing before its items are given up. */
const MISSING_MS = 3000;
interface TestConfiguration {
    version: number;
    routes: object[];
    services: never[];
}

const configurationOf = (version: number, hosts: string[]): TestConfiguration => ({
    version,
    routes: hosts.map(host => ({ host, prefix: "/", kind: "batch", services: [{ service: SERVICE, weight: 1 }] })),
    services: [],
});

function setUp() {
    const clock = new ManualClock();
    const configuration = new ActiveConfiguration();
    configuration.adopt(configurationOf(1, ["other"]) as never);
    const stored = { configuration: configurationOf(1, ["other"]), isReachable: true };
    const refreshConfiguration = () => {
        if (!stored.isReachable) {
            return Promise.reject(new Error("The key-value service is unavailable."));
        }
        configuration.adopt(stored.configuration as never);
        return Promise.resolve(true);
    };
    const opts = { clock, configuration, refreshConfiguration };
    const routes = new ItemRoutes(opts);
    const job = new OpenJob(createJobRecord({ id: "j", itemCount: 1 }));
    /** Looks at the item each 100 ms, as the dispatches do. @returns whether it may be given up at any time */
    const isGivenUpWithin = async (durationMs: number): Promise<boolean> => {
        let isGivenUp = false;
        for (const endsAtMs = clock.nowMs() + durationMs; clock.nowMs() < endsAtMs;) {
            isGivenUp ||= clock.nowMs() > routes.missingSinceMs(job.record.jobId) + MISSING_MS;
            routes.serviceOf(job, job.items[0]!);
            await clock.advance(100);
        }
        return isGivenUp;
    };
    return { stored, routes, job, isGivenUpWithin };
}

test("a route that is missing in the stored configuration counts as missing", async () => {
    const { isGivenUpWithin } = setUp();
    assert.equal(await isGivenUpWithin(MISSING_MS - 100), false);
    assert.equal(await isGivenUpWithin(2000), true);
});

// A change of the configuration may take 7 s to reach a leader whose watch is slow or cut off. A job that a gateway had
// accepted for a new route was given up after 3 s.
test("a route that is missing only in an old configuration does not count as missing", async () => {
    const { stored, routes, job, isGivenUpWithin } = setUp();
    stored.configuration = configurationOf(2, ["other", job.record.host]);
    assert.equal(await isGivenUpWithin(MISSING_MS * 4), false);
    assert.equal(routes.serviceOf(job, job.items[0]!), SERVICE);
});

test("no route counts as missing while the stored configuration can't be read", async () => {
    const { stored, isGivenUpWithin } = setUp();
    stored.isReachable = false;
    assert.equal(await isGivenUpWithin(MISSING_MS * 4), false);
    stored.isReachable = true;
    assert.equal(await isGivenUpWithin(2000), true);
});

/** A configuration with the batch route of a job and others, each a prefix, a kind and a service. */
function configurationWith(
    others: { name: string; prefix: string; kind: string; service: string; }[],
): TestConfiguration {
    const own = { name: "route", prefix: "/", kind: "batch", service: SERVICE };
    const routes = [own, ...others].map(({ service, ...route }) => ({
        ...route,
        host: "host",
        services: [{ service, weight: 1 }],
    }));
    return { version: 2, routes, services: [] };
}

// Items were given up unrun 3 s after another route with a longer prefix of their path was added (MIXED), or went to its service.
["idempotent", "stream", "batch"].forEach(kind => {
    void test(`an item stays with the route of its job when a ${kind} route with a longer prefix is added`, async () => {
        const { stored, routes, job, isGivenUpWithin } = setUp();
        stored.configuration = configurationWith([{ name: "added", prefix: "/p/", kind, service: "other" }]);
        assert.equal(await isGivenUpWithin(MISSING_MS * 4), false);
        assert.equal(routes.serviceOf(job, job.items[0]!), SERVICE);
    });
});

test("an item goes on with the route of its path when the route of its job was replaced", async () => {
    const { stored, routes, job, isGivenUpWithin } = setUp();
    const replaced = configurationWith([{ name: "replacing", prefix: "/p/", kind: "batch", service: "other" }]);
    stored.configuration = { ...replaced, routes: replaced.routes.slice(1) };
    assert.equal(await isGivenUpWithin(MISSING_MS * 4), false);
    assert.equal(routes.serviceOf(job, job.items[0]!), "other");
});
