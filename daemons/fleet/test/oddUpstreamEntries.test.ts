// Another writer left an entry with an address that no connection can use, or with too many slots: requests sent there ended
// the process, or all requests went there.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerContext } from "./createFollowerContext.js";
import { createUpstreamFollower } from "./createUpstreamFollower.js";

const sound = { address: "10.1.2.3:80", service: "s", zone: "z", version: "v1", slots: 8, state: "ready", born: 1 };
const NESTING = 200_000;
const nested = "[".repeat(NESTING) + "]".repeat(NESTING);

const odd = {
    "deep value": nested,
    "deep service": JSON.stringify(sound).replace('"s"', nested),
    "infinite slots": JSON.stringify(sound).replace('"slots":8', '"slots":1e999'),
    "too many slots": JSON.stringify({ ...sound, slots: Number.MAX_SAFE_INTEGER }),
    "infinite start": JSON.stringify(sound).replace('"born":1', '"born":1e999'),
    "start before any": JSON.stringify({ ...sound, born: -1 }),
    "start after any": JSON.stringify({ ...sound, born: Number.MAX_SAFE_INTEGER }),
    "port 0": JSON.stringify({ ...sound, address: "10.1.2.3:0" }),
    "port beyond the range": JSON.stringify({ ...sound, address: "10.1.2.3:65536" }),
    "port of many digits": JSON.stringify({ ...sound, address: `10.1.2.3:${"9".repeat(400)}` }),
    "port with a sign": JSON.stringify({ ...sound, address: "10.1.2.3:-80" }),
    "port that isn't decimal": JSON.stringify({ ...sound, address: "10.1.2.3:0x50" }),
    "address beyond the range": JSON.stringify({ ...sound, address: "999.1.1.1:80" }),
    "address of one number": JSON.stringify({ ...sound, address: "4294967296:80" }),
    "address with spaces": JSON.stringify({ ...sound, address: "a b:80" }),
    "address with a path": JSON.stringify({ ...sound, address: "h/x:80" }),
    "address with a user": JSON.stringify({ ...sound, address: "u@10.1.2.3:80" }),
    "address with an open bracket": JSON.stringify({ ...sound, address: "[::1:80" }),
    "bytes that aren't text": Buffer.from([0xff, 0xfe, 0x00]).toString("latin1"),
};

Object.entries(odd).forEach(([name, value]) => {
    test(`an odd entry among those of the upstreams names none, and the others hold: ${name}`, async () => {
        const clock = new ManualClock(1_000_000);
        const service = new MemoryKeyValueService({ clock });
        const controller = new AbortController();
        const put = async (id: string, text: string) => {
            const entry = { kind: "put", key: `${wireKeys.upstreams}${id}`, value: Buffer.from(text) } as const;
            await service.transact([], [entry]);
        };
        const follower = createUpstreamFollower(createFollowerContext(clock, service));
        const usable = () => follower.usable("s" as ServiceName, undefined).map(({ id }) => String(id)).sort();
        await put("u1", JSON.stringify(sound));
        await put("odd", value);
        void follower.mirror.run(controller.signal);
        await clock.advance(100);
        assert.deepEqual(usable(), ["u1"], "listed");
        await put("changed", JSON.stringify(sound));
        await put("changed", value);
        await put("u2", JSON.stringify(sound));
        await clock.advance(100);
        assert.deepEqual(usable(), ["u1", "u2"], "changed");
        controller.abort();
    });
});
