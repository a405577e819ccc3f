import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
    APP_SERVICE,
    BATCH_PREFIX,
    batchConfiguration,
    HOST,
    SERVICE,
    submission,
} from "../harness/batchConfiguration.mjs";
import { ReplicaStandin } from "../harness/replicaStandin.mjs";
import { runCase } from "../harness/runCase.mjs";

const JOB = "c4e96a0b7d138f25";
const ITEMS = 40;
const EVENTS = 100;
const EVENT_MS = 20;

await runCase(fileURLToPath(new URL(".", import.meta.url)), async ({ deployment, record, hasTrouble }) => {
    const { store } = deployment;
    const configuration = batchConfiguration();
    await deployment.start({ gateways: 2, configuration });
    const replicas = ["i-1", "i-2"].map(id =>
        new ReplicaStandin({
            store,
            record: text => record.add(text),
            id,
            service: SERVICE,
            zone: "z-a",
            events: EVENTS,
            eventMs: EVENT_MS,
        })
    );
    await Promise.all(replicas.map((replica, index) => replica.listen(deployment.hostOf(4, index + 1))));
    await sleep(4000);
    const front = deployment.gateways[0];
    const accepted = await deployment.send(front, submission(JOB, ITEMS));
    if (accepted.statusCode !== 202) {
        throw new Error("the job was not accepted");
    }
    await sleep(1000);
    if (hasTrouble) {
        const added = {
            ...configuration.routes[1],
            name: "r-added",
            prefix: `${BATCH_PREFIX}0/`,
            service: APP_SERVICE,
        };
        store.put("op/config", { ...configuration, version: 2, routes: [...configuration.routes, added] });
        record.add(`manifest 2 adds a route with the prefix ${added.prefix}; the batch route stays as it was`);
    }
    let results = [];
    await deployment.until("all results are there", 30_000, async () => {
        await sleep(1000);
        const page = await deployment.send(front, { path: `/api/lots/${JOB}?after=0`, headers: { host: HOST } });
        results = page.statusCode === 200 ? JSON.parse(page.body).results : [];
        return results.length === ITEMS;
    });
    replicas.forEach(replica => replica.close());
    const ran = new Set(replicas.flatMap(replica => replica.runs).map(({ requestId }) => requestId));
    const dead = results.filter(({ state }) => state === "dead_letter");
    results.forEach(({ id, state }) =>
        record.add(`result of ${id}: ${state}, ${ran.has(id) ? "was run" : "was never run"}`)
    );
    return dead.length > 0
        ? `${dead.length} of ${ITEMS} accepted items are dead_letter, ${
            dead.filter(({ id }) => !ran.has(id)).length
        } of them never ran`
        : undefined;
});
