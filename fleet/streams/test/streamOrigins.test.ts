// A gateway ended, and the gateways at which callers resumed its streams didn't know at which version these had begun.
import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { StreamOrigin } from "../src/streamOrigin.js";
import { SimulatedStreamFleet } from "./simulatedStreamFleet.js";

const PROCESSES = 7;
const LOOKUP_MS = 200;
const process = fc.integer({ min: 0, max: PROCESSES - 1 });
const idOf = (stream: number) => `r-${stream}` as RequestId;
const originOf = (stream: number): StreamOrigin => ({
    service: "s" as ServiceName,
    softwareVersion: `v${stream % 3}` as SoftwareVersion,
});

test("a stream's origin outlasts its gateway and one more process, and is found by every other", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.uniqueArray(process, { minLength: 3, maxLength: 3 }),
            fc.nat(1000),
            async (chosen, stream) => {
                const [gateway, other, asked] = chosen as [number, number, number];
                const fleet = new SimulatedStreamFleet({ processes: PROCESSES, seed: stream });
                fleet.at(gateway).record(idOf(stream), originOf(stream));
                await fleet.clock.advance(10);
                fleet.restart(gateway);
                fleet.setCut(other, true);
                const found = fleet.at(asked).lookUp(idOf(stream));
                await fleet.clock.advance(LOOKUP_MS);
                assert.deepEqual(await found, originOf(stream));
            },
        ),
        { seed: 24, numRuns: 300 },
    );
});

// All gateways were killed at once. The origins of their streams were lost where gateways alone had kept them.
test("the origins of all streams outlast all gateways, whoever was heard of since", async () => {
    const gateways = 20;
    const fleet = new SimulatedStreamFleet({ processes: 31, runners: 11, seed: 3 });
    const streams = Array.from({ length: 200 }, (_, stream) => stream);
    streams.forEach(stream => fleet.at(stream % gateways).record(idOf(stream), originOf(stream)));
    await fleet.clock.advance(10);
    Array.from({ length: gateways }, (_, index) => index).forEach(index => {
        fleet.restart(index);
        if (index % 2 === 0) {
            fleet.unheard.add(index);
        }
    });
    [22, 25, 27].forEach(index => fleet.unheard.add(index));
    const found = streams.map(stream => fleet.at((stream + 7) % gateways).lookUp(idOf(stream)));
    await fleet.clock.advance(LOOKUP_MS);
    assert.deepEqual(await Promise.all(found), streams.map(originOf));
});

const step = fc.oneof(
    fc.record({ kind: fc.constant("begin" as const), process, stream: fc.nat(8) }),
    fc.record({ kind: fc.constant("resume" as const), process, stream: fc.nat(8) }),
    fc.record({ kind: fc.constant("restart" as const), process, stream: fc.nat(8) }),
    fc.record({ kind: fc.constant("cut" as const), process, stream: fc.nat(8) }),
    fc.record({ kind: fc.constant("connect" as const), process, stream: fc.nat(8) }),
);

test("processes that are cut off, restarted or late never take another origin for that of a stream", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 60 }), fc.nat(1000), async (steps, seed) => {
            const fleet = new SimulatedStreamFleet({ processes: PROCESSES, seed });
            fleet.network.lossShare = 0.2;
            fleet.network.maxExtraDelayMs = 60;
            const begun = new Set<number>();
            const lookups: Promise<void>[] = [];
            for (const { kind, process: index, stream } of steps) {
                if (kind === "begin" && !begun.has(stream)) {
                    begun.add(stream);
                    fleet.at(index).record(idOf(stream), originOf(stream));
                }
                if (kind === "resume") {
                    lookups.push(
                        fleet.at(index).lookUp(idOf(stream)).then(found =>
                            assert.ok(found === undefined || found.softwareVersion === originOf(stream).softwareVersion)
                        ),
                    );
                }
                if (kind === "restart") {
                    fleet.restart(index);
                }
                if (kind === "cut" || kind === "connect") {
                    fleet.setCut(index, kind === "cut");
                }
                await fleet.clock.advance(5);
            }
            await fleet.clock.advance(LOOKUP_MS);
            await Promise.all(lookups);
        }),
        { seed: 24, numRuns: 200 },
    );
});

test("a lookup asks every process once and ends at once where none knows the stream", async () => {
    const fleet = new SimulatedStreamFleet({ processes: PROCESSES, seed: 1 });
    const found = fleet.at(0).lookUp(idOf(1));
    await fleet.clock.advance(10);
    assert.equal(await found, undefined);
    assert.equal(fleet.network.senders.filter(host => host === "p-0").length, PROCESSES - 1);
});

test("lookups of a process that is cut off end within their timeout", async () => {
    const fleet = new SimulatedStreamFleet({ processes: PROCESSES, seed: 1 });
    fleet.setCut(0, true);
    const found = fleet.at(0).lookUp(idOf(1));
    await fleet.clock.advance(LOOKUP_MS);
    assert.equal(await found, undefined);
});
