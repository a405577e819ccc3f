import assert from "node:assert/strict";
import { test } from "node:test";
import { parseServiceFiles } from "../src/parseServiceFiles.js";
import { serviceFileJsonSchema } from "../src/serviceFileJsonSchema.js";

const VALID = `teams:
  - teamId: cellar
    limits: { requestsPerSecond: 100 }
services:
  - name: notes
    team: cellar
    kind: model-engine
    models:
      - { name: demo-chat, version: "1" }
    limits:
      requestsPerSecond: 50
`;

test("a valid file gives definitions with defaults", () => {
    const result = parseServiceFiles([{ path: "knapweed.yaml", text: VALID }]);
    assert.deepEqual(result.problems, []);
    const [service] = result.definitions.services;
    assert.deepEqual([service?.replicas, service?.repeatable, service?.deadlineMs], [undefined, false, 60_000]);
    assert.equal(result.definitions.teams[0]?.displayName, "cellar");
});

test("every problem of every file is reported with file, line and path", () => {
    const first = VALID.replace("kind: model-engine", "kind: engine\n    colour: red").replace(
        "cellar\n    kind",
        "cellar\n    kind",
    );
    const second = "services:\n  - name: 5\n    team: cellar\n    kind: plain\n    replicas: -1\n";
    const result = parseServiceFiles([{ path: "a/knapweed.yaml", text: first }, {
        path: "b/knapweed.yaml",
        text: second,
    }]);
    assert.deepEqual(
        result.problems.map(problem => [problem.file, problem.line, problem.path]).sort(),
        [
            ["a/knapweed.yaml", 7, "services[0].kind"],
            ["a/knapweed.yaml", 8, "services[0].colour"],
            ["b/knapweed.yaml", 2, "services[0].name"],
            ["b/knapweed.yaml", 5, "services[0].replicas"],
        ],
    );
    assert.match(result.problems.map(problem => problem.expected).join("\n"), /model-engine/);
});

test("invalid YAML is reported with its line", () => {
    const result = parseServiceFiles([{ path: "knapweed.yaml", text: "services:\n  - name: [\n" }]);
    assert.ok(result.problems.length > 0);
    assert.ok(result.problems.every(problem => problem.line >= 2 && problem.expected.startsWith("valid YAML")));
});

test("excessive alias expansion is rejected", () => {
    const lines = ["a: &a [x,x,x,x,x,x,x,x,x]"]
        .concat(
            ["b", "c", "d", "e"].map((name, n) => `${name}: &${name} [${Array(9).fill(`*${"abcd"[n]}`).join(",")}]`),
        );
    const result = parseServiceFiles([{ path: "knapweed.yaml", text: lines.join("\n") }]);
    assert.equal(result.problems.length, 1);
});

test("rules that involve several files are checked", () => {
    const other = VALID.replace("requestsPerSecond: 50", "requestsPerSecond: 500").replace(
        "name: notes",
        "name: offers",
    )
        .replace(/teams:\n.*\n.*\n/, "").replace("team: cellar", "team: cellar\n    callableBy: [nobody]");
    const result = parseServiceFiles([{ path: "a.yaml", text: VALID }, { path: "b.yaml", text: other }]);
    assert.deepEqual(result.problems.map(problem => [problem.file, problem.line, problem.path]).sort(), [
        ["b.yaml", 4, "services[0].callableBy[0]"],
        ["b.yaml", 7, "services[0].models[0].name"],
        ["b.yaml", 9, "services[0].limits.requestsPerSecond"],
    ]);
});

test("a duplicate definition is reported with the location of the first one", () => {
    const result = parseServiceFiles([{ path: "a.yaml", text: VALID }, { path: "b.yaml", text: VALID }]);
    assert.match(result.problems[0]?.expected ?? "", /a\.yaml:5/);
    assert.equal(result.problems.length, 2);
});

test("the JSON Schema lists the required fields of a service", () => {
    const text = JSON.stringify(serviceFileJsonSchema());
    assert.match(text, /"required":\["name","team","kind"\]/);
});
