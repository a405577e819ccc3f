// An item whose output is larger than a value of the store may be is run to its end and then listed as dead_letter.
import { Fleet } from "../harness-3/fleet.mjs";
import { itemsOf } from "../harness-3/itemsOf.mjs";
import { batchManifest } from "../harness-3/manifest.mjs";
import { runCase } from "../harness-3/record.mjs";
import { pause, ReplicaStandin } from "../harness-3/replicaStandin.mjs";
import { submitJob } from "../harness-3/submitJob.mjs";

const HOST = "jobs.example";
const JOB_ID = "7c41e09b52d6a3f8";
const VALUE_BYTES = { small: 65_536, usual: 1_048_576 };
const EVENTS = 350;
const EVENT_BYTES = 300;
const WAIT_MS = 20_000;
const POLL_MS = 500;

await runCase(import.meta.dirname, async ({ record, hasTrouble, onFleet }) => {
    const valueBytes = hasTrouble ? VALUE_BYTES.small : VALUE_BYTES.usual;
    const fleet = await Fleet.create({ record, platform: { valueBytes } });
    onFleet(fleet);
    const { store } = fleet;
    store.valueBytes = valueBytes;
    store.put("op/config", batchManifest());
    const textOf = event => String(event).padEnd(EVENT_BYTES, "x");
    for (const number of [1, 2]) {
        const replica = new ReplicaStandin({
            id: `i-${number}`,
            host: `127.${fleet.subnet}.3.${number}`,
            store,
            service: "lm",
            kind: "stream",
            eventCount: EVENTS,
            eventGapMs: 2,
            textOf: (_id, event) => textOf(event),
        });
        fleet.replicas.push(replica);
        await replica.start();
    }
    await fleet.start();
    record.note(`the fleet is up; a value of the store has at most ${valueBytes} bytes`);
    const items = itemsOf(JOB_ID, { count: 1, headers: { "X-Token-Counts": "540,35000" } });
    items[0].tokenCount = 35_540;
    await submitJob(fleet, { host: HOST, path: `/jobs/${JOB_ID}`, id: JOB_ID, items, record });
    const endsAtMs = Date.now() + WAIT_MS;
    let result;
    while (Date.now() < endsAtMs && result === undefined) {
        await pause(POLL_MS);
        const page = await fleet.call(fleet.gateways[1], { host: HOST, path: `/api/lots/${JOB_ID}?after=0` });
        result = page.status === 200 ? JSON.parse(page.body).results[0] : undefined;
    }
    const runs = fleet.replicas.flatMap(replica => replica.runs);
    runs.forEach(run => record.note(`run at ${run.replica}, complete: ${run.isComplete}`));
    record.note(`result: ${result?.state}, output of ${result?.output.length} characters`);
    const whole = Array.from({ length: EVENTS }, (_, index) => textOf(index + 1)).join("\n");
    if (result === undefined) {
        return ["LOST: the item has no result"];
    }
    if (result.state === "completed" && result.output !== whole) {
        return ["MIXED: the result isn't the item's whole output"];
    }
    return result.state === "completed"
        ? []
        : [`MIXED: the item is listed as ${result.state}, though no replica has answered 422 or 500 and it isn't too old`];
});
