// A request that crashed upstreams was not recognised when it came again with another id.
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import assert from "node:assert/strict";
import { test } from "node:test";
import { fingerprintOf } from "../src/fingerprintOf.js";

const request = {
    host: "a.example",
    authorization: "Bearer 1",
    method: "POST",
    path: "/a/b?c=1",
    promptParts: ["p" as PromptPartId],
    body: Buffer.from("body"),
};

test("a request that comes again has the same fingerprint", () => {
    assert.equal(fingerprintOf(request), fingerprintOf({ ...request, body: Buffer.from("body") }));
    assert.equal(fingerprintOf(request), fingerprintOf({ ...request, host: "A.Example" }));
});

test("requests that differ in caller, method, path, shared prompt parts or body have other fingerprints", () => {
    const others = [
        { host: "b.example" },
        { host: undefined },
        { authorization: "Bearer 2" },
        { authorization: undefined },
        { method: "PUT" },
        { path: "/a/b?c=2" },
        { promptParts: [] },
        { promptParts: ["q" as PromptPartId] },
        { body: Buffer.from("other") },
        { body: Buffer.alloc(0) },
        { path: "/a/b?c=1body", body: Buffer.alloc(0) },
    ].map(change => fingerprintOf({ ...request, ...change }));
    assert.equal(new Set([fingerprintOf(request), ...others]).size, others.length + 1);
});
