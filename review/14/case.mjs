// Replicas that process one request at a time never get an item: the last slot of each replica is kept for online requests, also
// while there are none.
import { Fleet } from "../harness-3/fleet.mjs";
import { itemsOf } from "../harness-3/itemsOf.mjs";
import { batchManifest } from "../harness-3/manifest.mjs";
import { runCase } from "../harness-3/record.mjs";
import { ReplicaStandin } from "../harness-3/replicaStandin.mjs";
import { findUnfinished } from "../harness-3/unfinishedJob.mjs";

const JOB_ID = "7c41e09b52d6a3f8";
const ITEMS = 10;
const REPLICAS = 3;

await runCase(import.meta.dirname, async ({ record, hasTrouble, onFleet }) => {
    const fleet = await Fleet.create({ record });
    onFleet(fleet);
    const { store } = fleet;
    store.put("op/config", batchManifest());
    const slots = hasTrouble ? 1 : 2;
    for (let number = 1; number <= REPLICAS; number += 1) {
        const host = `127.${fleet.subnet}.3.${number}`;
        const replica = new ReplicaStandin({ id: `i-${number}`, host, store, service: "lm", kind: "stream", slots });
        fleet.replicas.push(replica);
        await replica.start();
    }
    await fleet.start();
    record.note(`the fleet is up; each replica processes ${slots} at a time`);
    return findUnfinished(fleet, { id: JOB_ID, items: itemsOf(JOB_ID, { count: ITEMS }), record });
});
