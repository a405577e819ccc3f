// Accepted items that name the header `Host` never run, and keep sound items of other jobs from running.
import path from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { itemOf, newId, readJob, submitJob } from "../harness-2/client.mjs";
import { runCase } from "../harness-2/deployment.mjs";
import { BATCH_PATH, createManifest, HOST, MODEL } from "../harness-2/manifest.mjs";
import { Replica } from "../harness-2/replica.mjs";

/** Time in which the last jobs are sent, until the end of traffic. */
const TRAFFIC_MS = 8000;
/** Time that batch jobs have after the end of traffic, `finishS`. */
const FINISH_MS = 18_000;
const CALM_MS = 5000;
const UNFINISHED_MS = 3000;
const REPLICAS = 4;
const SLOTS = 8;
const ITEMS_WITH_HOST = 10;
const SOUND_JOBS = 2;
const ITEMS_PER_SOUND_JOB = 5;

await runCase(path.join(import.meta.dirname, "record.txt"), async (deployment, hasTrouble) => {
    const record = text => deployment.record(text);
    await deployment.start({
        manifest: createManifest(),
        gateways: 2,
        runners: 3,
        replicas: Array.from(
            { length: REPLICAS },
            (_, index) => store => new Replica({ id: `i-${index + 1}`, service: MODEL, store, slots: SLOTS }),
        ),
    });
    const { gateways, replicas } = deployment;
    await pause(3000);
    const jobs = [];
    const submit = async (name, items) => {
        const jobId = newId();
        const answer = await submitJob(gateways[0].front, { host: HOST, path: `${BATCH_PATH}${jobId}`, jobId, items });
        record(`${name} ${jobId} with ${items.length} items: ${answer.status}`);
        if (answer.status === 202) {
            jobs.push({ jobId, name, items, sentAtMs: answer.sentAtMs });
        }
    };
    const createItems = count => Array.from({ length: count }, () => itemOf(BATCH_PATH));
    const withHost = item => ({ ...item, headers: { Host: HOST, ...item.headers } });
    const firstItems = createItems(ITEMS_WITH_HOST);
    await submit("job whose items name Host", hasTrouble ? firstItems.map(withHost) : firstItems);
    await pause(500);
    for (let number = 0; number < SOUND_JOBS; number += 1) {
        await submit("sound job", createItems(ITEMS_PER_SOUND_JOB));
        await pause(200);
    }
    await pause(TRAFFIC_MS + FINISH_MS);
    const endMs = Date.now();
    const arrivals = replicas.flatMap(replica => replica.arrivals);
    const wasBusy = replicas.some(replica => isHalfFull(replica.arrivals, endMs));
    const hasFinishedLately = arrivals.some(({ endedAtMs, outcome }) =>
        outcome === "answered" && endedAtMs > endMs - UNFINISHED_MS
    );
    record(
        `replicas half full in the last 5 s: ${wasBusy}; an item was finished in the last 3 s: ${hasFinishedLately}`,
    );
    let lostItems = 0;
    for (const job of jobs) {
        const answer = await readJob(gateways[1].front, { host: HOST, jobId: job.jobId });
        const listed = answer.status === 200 ? JSON.parse(answer.text).results : [];
        const runs = arrivals.filter(({ id }) => job.items.some(item => item.id === id));
        const hadItem = runs.some(({ endedAtMs }) => (endedAtMs ?? endMs) > endMs - CALM_MS);
        const open = job.items.length - listed.length;
        const lastEndMs = Math.max(0, ...runs.map(({ endedAtMs }) => (endedAtMs ?? endMs) - job.sentAtMs));
        record(
            `${job.name} ${job.jobId}: ${answer.status}, ${listed.length} of ${job.items.length} listed, ${runs.length} runs, the last ended ${lastEndMs} ms after the job was sent`,
        );
        lostItems += wasBusy || hasFinishedLately || hadItem ? 0 : open;
    }
    record(`${lostItems} accepted items are neither completed nor given up, and no replica has them`);
    return lostItems > 0;
});

/** Whether the replica had requests in half of its slots or more at any time of the last seconds. */
function isHalfFull(arrivals, endMs) {
    const recent = arrivals.filter(({ endedAtMs }) => (endedAtMs ?? endMs) >= endMs - CALM_MS);
    return recent.some(({ atMs }) => {
        const atOnce = recent.filter(other => other.atMs <= atMs && (other.endedAtMs ?? endMs) > atMs);
        return atOnce.length * 2 >= SLOTS;
    });
}
