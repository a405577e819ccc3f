import type { BatchService } from "@knapweedwood/batch.jobs/batchService";
import { ActiveConfiguration } from "@knapweedwood/config.distribution/activeConfiguration";
import { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { ConfigurationStore } from "@knapweedwood/config.publishing/configurationStore";
import { KeyValueChunkSource } from "@knapweedwood/config.publishing/keyValueChunkSource";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { ensureBootstrapConfiguration } from "../src/ensureBootstrapConfiguration.js";
import type { OperatorCaller } from "../src/operatorCaller.js";
import { OperatorsApi } from "../src/operatorsApi.js";

type Json = { [field: string]: unknown; };

const PLATFORM: OperatorCaller = {
    teamId: "platform" as TeamId,
    keyId: "bootstrap" as KeyId,
    role: "platform-operator",
};
const CELLAR: OperatorCaller = { teamId: "cellar" as TeamId, keyId: "k" as KeyId, role: "team-operator" };

async function setUp(context: TestContext) {
    const clock = new SystemClock();
    const keyValue = new MemoryKeyValueService({ clock });
    const publisher = new ConfigurationPublisher({ keyValue, clock, createChangeId: randomUUID });
    const active = new ActiveConfiguration({ onAdopted: () => undefined });
    const store = new ConfigurationStore({ keyValue });
    const adoptLatest = async () => {
        const { root } = await store.load();
        return root !== undefined && active.adopt(root, new KeyValueChunkSource({ keyValue }));
    };
    await ensureBootstrapConfiguration({ publisher, platformKeyHash: digestOf("first") });
    await adoptLatest();
    const jobs = {
        getJob: ({ teamId, jobId }: { teamId: string; jobId: string; }) =>
            teamId === "desk" && jobId === "job-1"
                ? Promise.resolve({ jobId, teamId })
                : Promise.reject(new KnapweedError("JOB_NOT_FOUND", "no", { statusCode: 404 })),
    } as unknown as BatchService;
    const api = new OperatorsApi({
        publisher,
        configuration: {
            current: () => active.current(),
            subscribe: listener => active.subscribe(listener),
            waitFor: adoptLatest,
            inForce: revision =>
                Promise.resolve({ revision: revision ?? active.revision, reached: 1, total: 1, missing: [] }),
        },
        jobs,
        fleet: { instances: () => Promise.resolve([]), upstreams: () => Promise.resolve([]) },
        usage: undefined,
        clock,
        logger: silentLogger,
    });
    let caller = PLATFORM;
    const server = createServer((request, response) => {
        void api.handle(request, response, caller).then(isHandled => isHandled || response.writeHead(404).end("{}"));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    context.after(() => server.close());
    const { port } = server.address() as AddressInfo;
    const send = async (as: OperatorCaller, method: string, path: string, body?: Json) => {
        caller = as;
        const response = await fetch(`http://127.0.0.1:${port}/admin/v1${path}`, {
            method,
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        });
        return { status: response.status, body: await response.json() as Json };
    };
    return { send, active, publisher };
}

test("teams and keys are created, and a key is shown once and stored only as its hash", async context => {
    const { send, active, publisher } = await setUp(context);
    assert.equal((await send(PLATFORM, "POST", "/teams", { teamId: "cellar" })).status, 201);
    const created = await send(PLATFORM, "POST", "/teams/cellar/keys", { role: "caller", name: "desk" });
    const found = active.current()?.findKey(digestOf(created.body["key"] as string));
    assert.equal(found?.team.teamId, "cellar");
    const listed = await send(PLATFORM, "GET", "/teams/cellar/keys");
    assert.doesNotMatch(JSON.stringify(listed.body), /keyHash|kw-/u);
    assert.doesNotMatch(JSON.stringify(await publisher.history()), /kw-/u);
    await send(PLATFORM, "DELETE", `/teams/cellar/keys/${String(created.body["keyId"])}`);
    assert.ok(active.current()?.findKeyById(created.body["keyId"] as KeyId)?.key.revokedAtMs);
    const [latest] = await publisher.history({ limit: 1 });
    assert.equal(latest?.actor, "bootstrap");
});

test("a team operator sees and changes only its own team", async context => {
    const { send } = await setUp(context);
    await send(PLATFORM, "POST", "/teams", { teamId: "cellar", limits: { requestsPerSecond: 5 } });
    await send(PLATFORM, "POST", "/teams", { teamId: "desk" });
    const teams = await send(CELLAR, "GET", "/teams");
    assert.deepEqual((teams.body["teams"] as Json[]).map(team => team["teamId"]), ["cellar"]);
    const statuses = [
        await send(CELLAR, "GET", "/teams/desk"),
        await send(CELLAR, "POST", "/teams/desk/keys", {}),
        await send(CELLAR, "POST", "/teams", { teamId: "own" }),
        await send(CELLAR, "PATCH", "/teams/cellar", { limits: {} }),
        await send(CELLAR, "POST", "/teams/cellar/keys", { role: "platform-operator" }),
        await send(CELLAR, "POST", "/configuration/rollback", { revision: 1 }),
        await send(CELLAR, "GET", "/jobs/job-1"),
        await send({ ...CELLAR, role: "caller" }, "GET", "/teams"),
        await send(CELLAR, "PATCH", "/teams/cellar", { displayName: "Cellar" }),
        await send(PLATFORM, "GET", "/jobs/job-1"),
    ].map(response => response.status);
    assert.deepEqual(statuses, [404, 404, 403, 403, 403, 403, 404, 403, 200, 200]);
});

test("files are published with their difference, and only by the team that owns the services", async context => {
    const { send, active } = await setUp(context);
    await send(PLATFORM, "POST", "/teams", { teamId: "cellar" });
    await send(PLATFORM, "POST", "/teams", { teamId: "desk" });
    const files = (team: string, replicas: number) => [
        {
            path: "knapweed.yaml",
            text: `services: [{ name: notes, team: ${team}, kind: plain, replicas: ${replicas} }]`,
        },
    ];
    const dry = await send(CELLAR, "POST", "/configuration/publish", { files: files("cellar", 1), dryRun: true });
    assert.equal(dry.body["published"], false);
    assert.equal(active.current()?.services().length, 0);
    const published = await send(CELLAR, "POST", "/configuration/publish", { files: files("cellar", 1) });
    assert.deepEqual([published.status, published.body["published"]], [200, true]);
    const foreign = await send({ ...CELLAR, teamId: "desk" as TeamId }, "POST", "/configuration/publish", {
        files: files("desk", 1),
    });
    assert.equal(foreign.status, 403);
    const invalid = await send(CELLAR, "POST", "/configuration/publish", { files: files("cellar", -1) });
    assert.match(JSON.stringify(invalid.body), /knapweed\.yaml:1: services\[0\]\.replicas/u);
    const rollback = await send(PLATFORM, "POST", "/configuration/rollback", { revision: 3 });
    assert.equal(rollback.status, 200);
    assert.equal(active.current()?.services().length, 0);
    const difference = await send(PLATFORM, "GET", "/configuration/difference?from=4&to=5");
    assert.deepEqual((difference.body["difference"] as Json[]).map(changed => changed["kind"]), ["removed"]);
});

test("the last key of a platform operator can't be revoked", async context => {
    const { send } = await setUp(context);
    const rejected = await send(PLATFORM, "DELETE", "/teams/platform/keys/bootstrap");
    assert.deepEqual([rejected.status, (rejected.body["error"] as Json)["code"]], [
        409,
        "ERR_KNAPWEED_LAST_PLATFORM_KEY",
    ]);
});

test("unknown fields, unknown paths and invalid query values are rejected", async context => {
    const { send } = await setUp(context);
    const unknown = await send(PLATFORM, "POST", "/teams", { teamId: "cellar", colour: "red" });
    assert.deepEqual([unknown.status, (unknown.body["error"] as Json)["code"]], [400, "ERR_KNAPWEED_BODY_INVALID"]);
    assert.equal((await send(PLATFORM, "GET", "/nothing")).status, 404);
    assert.equal((await send(PLATFORM, "GET", "/configuration/history?limit=x")).status, 400);
});
