import assert from "node:assert/strict";
import { test } from "node:test";
import { ActiveConfiguration } from "../src/activeConfiguration.js";
import type { Route } from "../src/route.js";

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function route(name: string, prefix: string): Route {
    return { name, host: "a.example", prefix } as Route;
}

function configurationOf(version: number, ...routes: Route[]) {
    return { version, routes, services: [], limits, teams: undefined };
}

test("matches the route with the longest prefix on the host", () => {
    const activeConfiguration = new ActiveConfiguration();
    activeConfiguration.adopt(configurationOf(1, route("short", "/a/"), route("long", "/a/b/"), route("root", "/")));
    const matches = ["/a/b/c", "/a/b/", "/a/b", "/a/x", "/x"].map(path =>
        activeConfiguration.match("A.example:80", path)?.name
    );
    assert.deepEqual(matches, ["long", "long", "short", "short", "root"]);
    assert.equal(activeConfiguration.match("b.example", "/a/"), undefined);
});

test("rejects a configuration older than the active one", () => {
    const activeConfiguration = new ActiveConfiguration();
    assert.equal(activeConfiguration.adopt(configurationOf(7, route("new", "/a/"))), true);
    assert.equal(activeConfiguration.adopt(configurationOf(5, route("old", "/a/"))), false);
    assert.equal(activeConfiguration.match("a.example", "/a/")?.name, "new");
});
