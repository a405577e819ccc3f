// A probe that met the first crash of a new series explained it also once others had crashed, so that the series raised no doubt.
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashHistory } from "../src/crashHistory.js";

const SERVICE = "s" as ServiceName;
const [PROBED, OTHER] = ["u-1 1", "u-2 1"] as UpstreamProcessKey[];

function unexplained(history: CrashHistory): UpstreamProcessKey[] {
    return history.unexplained(SERVICE, new Set()).map(({ process }) => process);
}

test("a probe explains the crash that broke it off, unless another upstream crashes around the same time", () => {
    const history = new CrashHistory();
    history.recordOwn(SERVICE, PROBED!, 1000);
    assert.deepEqual(unexplained(history), [PROBED]);
    history.recordProbe(SERVICE, PROBED!);
    assert.deepEqual(unexplained(history), []);
    history.recordLearned(SERVICE, OTHER!, 2000);
    assert.deepEqual(unexplained(history), [PROBED, OTHER]);
    history.withdraw(SERVICE, OTHER!);
    assert.deepEqual(unexplained(history), []);
});

test("a crash that was withdrawn counts again only if this process sees the upstream break off another run", () => {
    const history = new CrashHistory();
    history.recordOwn(SERVICE, OTHER!, 1000);
    history.withdraw(SERVICE, OTHER!);
    history.recordLearned(SERVICE, OTHER!, 2000);
    assert.deepEqual(unexplained(history), []);
    history.recordOwn(SERVICE, OTHER!, 3000);
    assert.deepEqual(unexplained(history), [OTHER]);
});
