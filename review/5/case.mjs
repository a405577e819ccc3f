import { clearInterval, setInterval } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
    APP_PREFIX,
    APP_SERVICE,
    batchConfiguration,
    HOST,
    SERVICE,
    submission,
} from "../harness/batchConfiguration.mjs";
import { call, FRONT_PORT } from "../harness/deployment.mjs";
import { ReplicaStandin } from "../harness/replicaStandin.mjs";
import { runCase } from "../harness/runCase.mjs";

const ENDED_JOB = "a17d03c59be24f60";
const OTHER_JOB = "b28e14d6acf35071";
const ITEMS = 200;
const CANCEL_MS = 3000;
const CONTACT_MS = 3000;
/** Time between the usual requests of clients at one front, in milliseconds. */
const CLIENT_INTERVAL_MS = 10;

await runCase(fileURLToPath(new URL(".", import.meta.url)), async ({ deployment, record, hasTrouble }) => {
    const { store } = deployment;
    await deployment.start({ gateways: 2, configuration: batchConfiguration() });
    const opts = { store, record: text => record.add(text), service: SERVICE, events: 40, eventMs: 20, slots: 8 };
    const replicas = ["i-1", "i-2"].map((id, index) => new ReplicaStandin({ ...opts, id, zone: `z-${"ab"[index]}` }));
    await Promise.all(replicas.map((replica, index) => replica.listen(deployment.hostOf(4, index + 1))));
    const app = new ReplicaStandin({
        ...opts,
        record: () => undefined,
        service: APP_SERVICE,
        id: "i-3",
        zone: "z-c",
        events: 1,
    });
    await app.listen(deployment.hostOf(4, 3));
    await sleep(6000);
    const { leader, gateways: [front] } = deployment;
    record.add(`the leader of the jobs is ${leader.name}`);
    const accepted = await deployment.send(front, submission(ENDED_JOB, ITEMS));
    if (accepted.statusCode !== 202) {
        throw new Error("the job was not accepted");
    }
    let sent = 0;
    const clients = setInterval(() => {
        const headers = { host: HOST, "x-request-id": `c${++sent}`, "x-deadline-ms": "3000" };
        void call({ host: front.host, port: FRONT_PORT, path: `${APP_PREFIX}${sent}`, headers, timeoutMs: 3000 });
    }, CLIENT_INTERVAL_MS);
    await sleep(500);
    let silentAtMs = Date.now();
    if (hasTrouble) {
        const silenced = store.silenceNextWatch(leader.name, "knapweed/jobs/");
        await deployment.send(front, submission(OTHER_JOB, 1));
        await silenced;
        silentAtMs = Date.now();
        record.add(`a connection from ${leader.name} to the store has gone silent`);
    }
    await sleep(100);
    const ended = await deployment.send(front, {
        method: "DELETE",
        path: `/api/lots/${ENDED_JOB}`,
        headers: { host: HOST },
    });
    const ackAtMs = Date.now();
    if (hasTrouble) {
        await front.kill();
    }
    clearInterval(clients);
    record.add(`${sent} usual requests were sent to ${front.name}`);
    if (ended.statusCode !== 200) {
        throw new Error("the job was not ended");
    }
    await sleep(CANCEL_MS + 3000);
    const inTouchFromMs = Math.max(ackAtMs + CANCEL_MS, silentAtMs + CONTACT_MS);
    const late = replicas
        .flatMap(replica => replica.runs)
        .filter(({ requestId, atMs }) => requestId.startsWith(ENDED_JOB) && atMs > inTouchFromMs);
    record.add(
        `the job's end was acknowledged at ${ackAtMs}; later than ${inTouchFromMs}: ${late.length} runs of its items`,
    );
    [...replicas, app].forEach(replica => replica.close());
    return late.length > 0
        ? `${late.length} items began to run up to ${late.at(-1).atMs - ackAtMs} ms after the ack of their job's end`
        : undefined;
});
