// An upstream with 800 adapters has an entry of 21 kB. It was taken for unreadable: accepted items never ran, calls were rejected,
// and a serving upstream whose adapters grew in number dropped out (review/15).
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { MAX_VALUE_SIZE_BYTES } from "@knapweedwood/core.key-value/maxValueSizeBytes";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerContext } from "./createFollowerContext.js";
import { createUpstreamFollower } from "./createUpstreamFollower.js";

const NESTING = 200_000;

const sound = { address: "10.1.2.3:80", service: "s", zone: "z", version: "v1", slots: 8, state: "ready", born: 1 };

function withAdapters(count: number, change: object = {}): string {
    const adapters = Array.from({ length: count }, (_, index) => `adapter-of-customer-${index}`);
    return JSON.stringify({ ...sound, models: [{ name: "m", version: 1, adapters }], ...change });
}

function createFollower() {
    const clock = new ManualClock(1_000_000);
    const service = new MemoryKeyValueService({ clock });
    const controller = new AbortController();
    const follower = createUpstreamFollower(createFollowerContext(clock, service));
    const put = async (id: string, text: string) => {
        const operation = { kind: "put", key: `${wireKeys.upstreams}${id}`, value: Buffer.from(text) } as const;
        await service.transact([], [operation]);
        await clock.advance(100);
    };
    const usable = () => follower.usable("s" as ServiceName, undefined).map(({ id }) => String(id)).sort();
    void follower.mirror.run(controller.signal);
    return { follower, put, usable, stop: () => controller.abort() };
}

const largest = withAdapters(0, { notes: "n".repeat(MAX_VALUE_SIZE_BYTES - withAdapters(0, { notes: "" }).length) });
assert.equal(largest.length, MAX_VALUE_SIZE_BYTES);
const nested = "[".repeat(NESTING) + "]".repeat(NESTING);

Object.entries({
    "800 adapters": withAdapters(800),
    "30,000 adapters": withAdapters(30_000),
    "as large as the store takes": largest,
    "a long software version": JSON.stringify({ ...sound, version: "v".repeat(20_000) }),
    "a deep field that isn't used": JSON.stringify({ ...sound, extra: 0 }).replace('"extra":0', `"extra":${nested}`),
    "100,000 slots": JSON.stringify({ ...sound, slots: 100_000 }),
}).forEach(([name, text]) => {
    test(`an upstream with a large entry is used: ${name}`, async () => {
        const { put, usable, stop } = createFollower();
        await put("u", text);
        assert.deepEqual(usable(), ["u"]);
        stop();
    });
});

test("an upstream that serves stays when its entry grows, and leaves when a large entry says so", async () => {
    const { put, usable, stop } = createFollower();
    await put("growing", withAdapters(50));
    await put("leaving", withAdapters(50));
    await put("growing", withAdapters(800));
    await put("leaving", withAdapters(800, { state: "draining" }));
    assert.deepEqual(usable(), ["growing"]);
    stop();
});

// 100 entries of 325 kB took a process to 372 MB of its 380, and each change was written to its disk as a whole.
test("only the used fields of an entry are kept and handed to other processes", async () => {
    const { follower, put, stop } = createFollower();
    await put("u", withAdapters(12_000, { sequence: 7 }));
    const [entry] = follower.mirror.entries();
    assert.deepEqual(JSON.parse(Buffer.from(entry!.value).toString()), sound);
    stop();
    const other = createFollower();
    assert.ok(other.follower.mirror.seed([entry!], 1));
    assert.deepEqual(other.usable(), ["u"]);
    other.stop();
});
