import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { test } from "node:test";
import type { FleetSnapshot } from "../src/fleetSnapshot.js";
import { FleetSnapshotFile } from "../src/fleetSnapshotFile.js";

const entry = { key: "op/config", value: Buffer.from("configuration"), modRevision: 7, leaseId: undefined };
const snapshot: FleetSnapshot = { operators: [entry], upstreams: [], fleet: [] };

// A power loss may leave a file torn or empty; a process that used it would serve with half of a configuration.
test("a stored snapshot is read back, and a damaged one is not used", async () => {
    const folder = await mkdtemp(path.join(tmpdir(), "snapshot-"));
    try {
        const file = new FleetSnapshotFile({ dataFolder: folder });
        assert.equal(await file.read(), undefined);
        await file.write(snapshot);
        const read = await new FleetSnapshotFile({ dataFolder: folder }).read();
        assert.deepEqual(read?.operators.map(one => [one.key, Buffer.from(one.value).toString(), one.modRevision]), [
            ["op/config", "configuration", 7],
        ]);
        const bytes = await readFile(path.join(folder, "fleet-snapshot"));
        bytes[bytes.length - 5]! ^= 1;
        await writeFile(path.join(folder, "fleet-snapshot"), bytes);
        assert.equal(await file.read(), undefined);
        await writeFile(path.join(folder, "fleet-snapshot"), bytes.subarray(0, 20));
        assert.equal(await file.read(), undefined);
    }
    finally {
        await rm(folder, { recursive: true });
    }
});
