import { parseYaml } from "@knapweedwood/config.yaml/parseYaml";
import assert from "node:assert/strict";
import { test } from "node:test";
import { entrySettingsSchema } from "../src/entrySettingsSchema.js";

const SETTINGS = `
instanceId: entry-1
region: tt-north
zone: tt-north-a
link: { port: 7101 }
http: { port: 8080 }
platform:
  keyValueUrl: http://127.0.0.1:2379
  instanceListUrl: http://127.0.0.1:2380
`;

test("valid settings are completed with defaults", () => {
    const parsed = parseYaml({ file: "entry.yaml", text: SETTINGS, schema: entrySettingsSchema });
    assert.equal(parsed.value?.http.host, "127.0.0.1");
    assert.equal(parsed.value?.batch.partitionCount, 16);
});

test("every problem is reported with its line and path", () => {
    const text = SETTINGS.replace("port: 8080", "port: many").replace("zone: tt-north-a", "zones: tt-north-a");
    const parsed = parseYaml({ file: "entry.yaml", text, schema: entrySettingsSchema });
    const found = parsed.problems.map(problem => `${problem.line} ${problem.path}`);
    assert.ok(found.includes("6 http.port"), found.join("; "));
    assert.ok(found.some(entry => entry.endsWith(" zone")), found.join("; "));
    assert.ok(found.includes("4 zones"), found.join("; "));
});

test("invalid YAML gives a problem instead of an exception", () => {
    const parsed = parseYaml({ file: "entry.yaml", text: "link: {", schema: entrySettingsSchema });
    assert.equal(parsed.value, undefined);
    assert.equal(parsed.problems[0]?.line, 1);
});
