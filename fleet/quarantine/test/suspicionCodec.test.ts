// While a release is under way, processes of the previous version get suspicions of requests, and the other way round.
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Suspicion } from "../src/suspicion.js";
import { SuspicionCodec } from "../src/suspicionCodec.js";

/** The largest datagram that fits an Ethernet frame, in bytes. */
const MAX_DATAGRAM_BYTES = 1472;

const part: Suspicion = {
    service: "s" as ServiceName,
    part: "5c1e07a2" as PromptPartId,
    disproofs: 1,
    crashes: ["u 1" as UpstreamProcessKey],
    rounds: 1,
    hasSucceeded: true,
    isQuarantined: false,
    probes: 0,
};

test("suspicions of requests have the form of those of prompt parts, which is read as before", () => {
    const request: Suspicion = { ...part, part: `request:${"0".repeat(24)}` as RequestFingerprint };
    const codec = new SuspicionCodec();
    assert.deepEqual(codec.encode([part, request]).flatMap(bytes => codec.decode(bytes)), [part, request]);
    const packed = [["s", "5c1e07a2", 1, ["u 1"], 1, true, false, 0]];
    assert.deepEqual(codec.decode(new Packr({ useRecords: false }).pack(packed)), [part]);
    const crashes = Array.from({ length: 3 }, (_, index) => `i-7f3a91c2-${index} 1796380000000` as UpstreamProcessKey);
    const convicted = { ...request, service: "a-service-name" as ServiceName, crashes, isQuarantined: true };
    const [bytes] = codec.encode(Array.from({ length: 6 }, () => convicted));
    assert.ok(bytes!.length <= MAX_DATAGRAM_BYTES, `${bytes!.length} bytes`);
});

// The version before knows of no withdrawn crashes. It must neither count them nor fail to read the rest of the datagram.
test("withdrawn crashes reach this version, and are a part that no request has for the one before", () => {
    const codec = new SuspicionCodec();
    const withdrawn = Array.from({ length: 20 }, (_, index) => `u-${index} 1` as UpstreamProcessKey);
    const other = { ...part, part: "91bd3f06" as PromptPartId };
    const [first] = codec.encode([{ ...part, withdrawn }, other]);
    assert.deepEqual(codec.decode(first!), [{ ...part, withdrawn }, other]);
    const entries = new Packr({ useRecords: false }).unpack(first!) as unknown[][];
    assert.ok(entries.every(entry => entry.length === 8), "the entries have the form of the version before");
    const parts = entries.map(entry => String(entry[1]));
    assert.deepEqual(parts.filter(one => !one.startsWith("withdrawn:")), [part.part, other.part]);
});
