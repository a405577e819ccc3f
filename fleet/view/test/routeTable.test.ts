import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationInForce } from "../src/configurationInForce.js";
import type { Route } from "../src/route.js";

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function route(name: string, prefix: string): Route {
    return { name, host: "a.example", prefix } as Route;
}

function configurationOf(version: number, ...routes: Route[]) {
    return { version, routes, services: [], limits };
}

test("the longest prefix of the host wins", () => {
    const inForce = new ConfigurationInForce();
    inForce.adopt(configurationOf(1, route("short", "/a/"), route("long", "/a/b/"), route("root", "/")));
    const matches = ["/a/b/c", "/a/b/", "/a/b", "/a/x", "/x"].map(path => inForce.match("A.example:80", path)?.name);
    assert.deepEqual(matches, ["long", "long", "short", "short", "root"]);
    assert.equal(inForce.match("b.example", "/a/"), undefined);
});

test("an older version never replaces a newer one", () => {
    const inForce = new ConfigurationInForce();
    assert.equal(inForce.adopt(configurationOf(7, route("new", "/a/"))), true);
    assert.equal(inForce.adopt(configurationOf(5, route("old", "/a/"))), false);
    assert.equal(inForce.match("a.example", "/a/")?.name, "new");
});
