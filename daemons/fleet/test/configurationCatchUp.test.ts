// The key-value service may serve some instances and reject others for seconds, be down, or answer from a replica that
// lags behind. A process that depended on it alone accepted withdrawn keys meanwhile, or again after a restart.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import assert from "node:assert/strict";
import { test } from "node:test";
import { configurationOf } from "./configurationOf.js";
import { ConfigurationProcess } from "./configurationProcess.js";

/** Starts processes of these names that reach each other. Each starts with version 1, which contains `old`. */
async function startFleet(names: string[]) {
    const clock = new ManualClock();
    const network = new Map<string, ConfigurationProcess>();
    const processes = names.map(name => new ConfigurationProcess({ clock, name, network }));
    names.forEach((name, index) => network.set(name, processes[index]!));
    await Promise.all(processes.map(async process => {
        await process.write(1, ["old"]);
        await process.start();
    }));
    await clock.advance(2000);
    return { clock, network, processes };
}

function entryOf(version: number, modRevision: number, keys: string[] = []) {
    return { key: wireKeys.configuration, value: configurationOf(version, keys), modRevision, leaseId: undefined };
}

test("an instance that the service rejects for 9 s learns from a runner that a key was withdrawn", async () => {
    const { clock, processes } = await startFleet(["gateway", "dead", "runner"]);
    const [gateway, dead, runner] = processes as [ConfigurationProcess, ConfigurationProcess, ConfigurationProcess];
    dead.stop();
    gateway.service.faults.outage = true;
    await clock.advance(1000);
    const asked = gateway.asked;
    await runner.write(2, ["new"]);
    await clock.advance(2000);
    assert.deepEqual(["old", "new", "lasting"].map(key => gateway.knows(key)), [false, true, true]);
    assert.equal(
        gateway.operators.mirror.isCurrent,
        false,
        "unknown keys are answered with 503 until the service is back",
    );
    await clock.advance(6000);
    assert.ok(gateway.asked - asked <= 17, "two calls a second at most");
    gateway.service.faults.outage = false;
    await clock.advance(2000);
    assert.deepEqual([gateway.operators.configuration.version, gateway.knows("old")], [2, false]);
    processes.forEach(process => process.stop());
});

test("a runner that has reported a newer revision is asked first, and another one if it doesn't answer", async () => {
    const { clock, processes } = await startFleet(["gateway", "a", "b", "c"]);
    const [gateway, a, b, c] = processes as ConfigurationProcess[];
    await b!.write(2, []);
    await clock.advance(100);
    const asked = gateway!.asked;
    gateway!.operators.mirror.catchUp(b!.operators.configurationRevision);
    gateway!.catchUp.prefer(b!.address());
    await clock.advance(500);
    assert.deepEqual([gateway!.operators.configuration.version, gateway!.asked - asked], [2, 1]);

    await c!.write(2, []);
    await c!.write(3, []);
    a!.stop();
    await clock.advance(100);
    gateway!.operators.mirror.catchUp(c!.operators.configurationRevision);
    // Reports of a runner that can't be reached keep arriving.
    const reports = Array.from({ length: 30 }, (_, index) => index * 100);
    reports.forEach(delayMs => clock.setTimer(delayMs, () => gateway!.catchUp.prefer(a!.address())));
    await clock.advance(4000);
    assert.equal(gateway!.operators.configuration.version, 3);
    processes.forEach(process => process.stop());
});

test("a process that the service serves asks runners after its start only", async () => {
    const { clock, processes } = await startFleet(["gateway", "runner"]);
    await clock.advance(10_000);
    assert.deepEqual(processes.map(process => [process.asked, process.catchUp.isConfirmed(400)]), [[1, true], [
        1,
        true,
    ]]);
    processes.forEach(process => process.stop());
});

test("no restart during an outage or with a stale service brings back a withdrawn key that a runner knows of", async () => {
    const clock = new ManualClock();
    const network = new Map<string, ConfigurationProcess>();
    const snapshot = (version: number, revision: number, keys: string[]) => ({
        operators: [entryOf(version, revision, keys)],
        upstreams: [],
        fleet: [],
    });
    const disks = [
        { stored: snapshot(1, 5, ["old"]) },
        { stored: snapshot(2, 9, []) },
        { stored: undefined as ReturnType<typeof snapshot> | undefined },
    ];
    const processes = disks.map((disk, index) => {
        const process = new ConfigurationProcess({ clock, name: String(index), network, disk });
        network.set(String(index), process);
        process.service.faults.outage = true;
        return process;
    });
    await Promise.all(processes.map(process => process.start()));
    await clock.advance(3000);
    const state = () => processes.map(one => [one.operators.configuration.version, one.knows("old")]);
    assert.deepEqual(state(), [[2, false], [2, false], [2, false]]);
    assert.deepEqual(disks.map(disk => disk.stored?.operators[0]?.modRevision), [9, 9, 9]);
    processes.forEach(process => {
        process.service.faults.outage = false;
    });
    await Promise.all(processes.map(process => process.write(1, ["old"])));
    await clock.advance(5000);
    assert.deepEqual(state(), [[2, false], [2, false], [2, false]], "the service lags behind");
    assert.deepEqual(disks.map(disk => disk.stored?.operators[0]?.modRevision), [9, 9, 9]);
    assert.equal(await processes[0]!.operators.refresh(), false, "a stale read isn't certain");
    processes.forEach(process => process.stop());
});

test("a process that starts while the service lags behind is corrected by the runner that it asks at once", async () => {
    const { clock, network, processes } = await startFleet(["runner"]);
    await processes[0]!.write(2, []);
    await clock.advance(100);
    const gateway = new ConfigurationProcess({ clock, name: "gateway", network });
    await gateway.write(1, ["old"]);
    await gateway.start();
    await clock.advance(100);
    assert.deepEqual([gateway.operators.configuration.version, gateway.catchUp.isConfirmed(400)], [2, true]);
    [...processes, gateway].forEach(process => process.stop());
});

test("no key appears in a line of the log or in a metric, whatever is stored", async () => {
    const { clock, processes } = await startFleet(["gateway", "runner"]);
    const [gateway, runner] = processes as [ConfigurationProcess, ConfigurationProcess];
    gateway.service.faults.outage = true;
    await runner.write(2, ["secret-a"]);
    await clock.advance(2000);
    assert.ok(
        gateway.lines.some(line =>
            line.includes('"event":"configuration-adopted"') && line.includes('"version":2')
            && line.includes('"revision":3') && line.includes('"source":"runner"')
        ),
    );
    assert.deepEqual(gateway.metrics, ['configurations_adopted_total {"from":"peer"}']);
    const unreadable = [
        '{"tenants": [{"name": "t", "apiKeys": ["secret-b" "secret-c"]}]}',
        '"secret-d',
        "secret-e",
        '{"version": "secret-f", "tenants": [{"name": 1, "apiKeys": {"secret-g": "secret-h"}}]}',
    ];
    await unreadable.reduce(async (previous, text) => {
        await previous;
        await runner.service.transact([], [{ kind: "put", key: wireKeys.configuration, value: Buffer.from(text) }]);
        await clock.advance(100);
    }, Promise.resolve());
    await clock.advance(1000);
    const unreadableLines = runner.lines.filter(line => line.includes("configuration-unreadable"));
    assert.equal(unreadableLines.length, unreadable.length);
    const written = [...gateway.lines, ...runner.lines, ...gateway.metrics, ...runner.metrics].join("\n");
    assert.doesNotMatch(written, /secret|lasting|"old"/u);
    processes.forEach(process => process.stop());
});
