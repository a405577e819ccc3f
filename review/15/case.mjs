// A replica with many adapters has an entry of over 16 KB in the list of replicas. The system takes it for unreadable and sends it
// nothing, so that accepted items never run.
import { Fleet } from "../harness-3/fleet.mjs";
import { itemsOf } from "../harness-3/itemsOf.mjs";
import { batchManifest } from "../harness-3/manifest.mjs";
import { runCase } from "../harness-3/record.mjs";
import { ReplicaStandin } from "../harness-3/replicaStandin.mjs";
import { findUnfinished } from "../harness-3/unfinishedJob.mjs";

const JOB_ID = "7c41e09b52d6a3f8";
const ITEMS = 10;
const REPLICAS = 3;
const ADAPTERS = { many: 800, few: 50 };

await runCase(import.meta.dirname, async ({ record, hasTrouble, onFleet }) => {
    const fleet = await Fleet.create({ record });
    onFleet(fleet);
    const { store } = fleet;
    store.put("op/config", batchManifest());
    const count = hasTrouble ? ADAPTERS.many : ADAPTERS.few;
    const adapters = Array.from({ length: count }, (_, index) => `adapter-of-customer-${index}`);
    for (let number = 1; number <= REPLICAS; number += 1) {
        const host = `127.${fleet.subnet}.3.${number}`;
        const options = { id: `i-${number}`, host, store, service: "lm", kind: "stream" };
        const replica = new ReplicaStandin({ ...options, adapters });
        fleet.replicas.push(replica);
        await replica.start();
    }
    const entryBytes = JSON.stringify(store.get("servers/i-1")).length;
    await fleet.start();
    record.note(`the fleet is up; an entry of a replica has ${entryBytes} bytes with ${count} adapters`);
    return findUnfinished(fleet, { id: JOB_ID, items: itemsOf(JOB_ID, { count: ITEMS }), record });
});
