import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { CacheChange } from "@knapweedwood/daemons.inference/cacheChange";
import type { CacheEvent } from "@knapweedwood/engines.model-engine/cacheEvent";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import assert from "node:assert/strict";
import { once } from "node:events";
import { test } from "node:test";
import { CacheChangeReporter } from "../src/cacheChangeReporter.js";

test("entries receive the engine's events up to a rate limit, also after the engine was unavailable", async () => {
    const clock = new ManualClock();
    const changes: CacheChange[] = [];
    const sideChanges: CacheChange[] = [];
    const linkOf = (kind: string, target: CacheChange[]) => ({
        peer: { kind },
        notify: (_: unknown, change: CacheChange) => target.push(change),
    });
    const endpoint = {
        identity: { instanceId: "side" },
        links: () => [linkOf("entry", changes), linkOf("side", sideChanges)],
    } as unknown as LinkEndpoint;
    const eventOf = (sequenceNumber: number): CacheEvent => ({
        sequenceNumber,
        kind: "stored",
        blockHashes: Array.from({ length: 50 }, (_, index) => String(index)),
    });
    let isUnavailable = true;
    const engine = {
        async *cacheEvents({ signal }: { signal: AbortSignal; }) {
            if (isUnavailable) {
                throw new Error("unavailable");
            }
            yield* Array.from({ length: 10 }, (_, index) => eventOf(index + 1));
            await once(signal, "abort");
        },
    };
    const reporter = new CacheChangeReporter({ endpoint, clock, engine, service: "chat" as ServiceName });
    reporter.start();
    await clock.advance(1000);
    assert.equal(changes.length, 0);
    isUnavailable = false;
    await clock.advance(10_000);
    assert.deepEqual(changes.map(change => change.sequenceNumber), [1, 2, 3, 4]);
    assert.equal(changes[0].instanceId, "side");
    assert.equal(sideChanges.length, 0);
    await reporter.stop();
});
