import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { batchConfiguration, HOST, SERVICE, submission } from "../harness/batchConfiguration.mjs";
import { ReplicaStandin } from "../harness/replicaStandin.mjs";
import { runCase } from "../harness/runCase.mjs";

const JOB = "7c41e09b52d6a3f8";
const ITEMS = 4;
const OUTAGE_MS = 5900;
const DARK_MS = Number(process.env.DARK_MS ?? 5000);
/** Time before the end of the outage at which the storage machines lose power. */
const LEAD_MS = 200;
const CONTACT_MS = 3000;
const SETTLE_MS = 1000;

await runCase(fileURLToPath(new URL(".", import.meta.url)), async ({ deployment, record, hasTrouble }) => {
    const { store } = deployment;
    await deployment.start({ gateways: 4, configuration: batchConfiguration() });
    const replica = new ReplicaStandin({
        store,
        record: text => record.add(text),
        id: "i-1",
        service: SERVICE,
        zone: "z-a",
        events: 200,
        eventMs: 20,
    });
    await replica.listen(deployment.hostOf(4, 1));
    await sleep(6000);
    if (hasTrouble) {
        record.add("the store goes down (busy)");
        store.mode = "busy";
    }
    const downAtMs = Date.now();
    let accepted;
    await deployment.until("the job is accepted", OUTAGE_MS - LEAD_MS - 500, async () => {
        accepted = await deployment.send(deployment.gateways[0], submission(JOB, ITEMS));
        return accepted.statusCode === 202;
    });
    const acceptedAtMs = Date.now();
    await sleep(downAtMs + OUTAGE_MS - LEAD_MS - Date.now());
    const darkAtMs = Date.now();
    if (hasTrouble) {
        await Promise.all(deployment.runners.map(runner => runner.kill()));
    }
    await sleep(downAtMs + OUTAGE_MS - Date.now());
    if (hasTrouble) {
        record.add("the store is back");
        store.mode = "up";
    }
    // From here on, all fronts are in touch: both disturbances began `contactMs` ago, and the second one hasn't ended.
    await sleep(Math.max(Date.now(), darkAtMs + CONTACT_MS + LEAD_MS) - Date.now());
    const answers = [];
    while (Date.now() < darkAtMs + DARK_MS) {
        if (Date.now() > acceptedAtMs + SETTLE_MS) {
            answers.push(
                ...await Promise.all(
                    deployment.gateways.map(gateway =>
                        deployment.send(gateway, {
                            method: "DELETE",
                            path: `/api/lots/${JOB}`,
                            headers: { host: HOST },
                        })
                    ),
                ),
            );
        }
        if (answers.some(({ statusCode }) => statusCode === 404 || statusCode === 200)) {
            break;
        }
        await sleep(100);
    }
    if (hasTrouble) {
        await sleep(darkAtMs + DARK_MS - Date.now());
        deployment.runners.forEach(runner => runner.start());
    }
    await sleep(6000);
    const page = await deployment.send(deployment.gateways[0], {
        path: `/api/lots/${JOB}?after=0`,
        headers: { host: HOST },
    });
    record.add(`runs of items: ${replica.runs.length}`);
    replica.close();
    const notFound = answers.filter(({ statusCode }) => statusCode === 404).length;
    return notFound > 0
        ? `${notFound} calls to end the accepted job were answered 404; later a read of it gives ${page.statusCode}`
        : undefined;
});
