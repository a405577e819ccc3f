// An accepted job with large headers is lost when the runners lose their disks one after the other.
import path from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { itemOf, newId, readJob, submitJob } from "../harness-2/client.mjs";
import { BOUNDS, runCase } from "../harness-2/deployment.mjs";
import { BATCH_PATH, createManifest, HOST, MODEL } from "../harness-2/manifest.mjs";
import { Replica, writeEvents } from "../harness-2/replica.mjs";

/** The most items that a job may have. */
const ITEMS = 200;
/** Parts of the prompt of each item of the large job: about 6 KB of headers, of 16 KB that a client may send. */
const PROMPT_PARTS = 400;
const EVENTS = 40;
const EVENT_MS = 15;
/** The day trouble-2: `after_ack_wipe` on store, count 1, for_s 1.0, at 1.5, 8.7 and 15.9 s. */
const FIRST_LOSS_MS = 1500;
const LOSS_INTERVAL_MS = 7200;
const DOWN_MS = 1000;
/** Time to the end of the case, longer than `recoverS` (12) and `finishS` (18). */
const CALM_MS = 20_000;
const READ_INTERVAL_MS = 500;

await runCase(path.join(import.meta.dirname, "record.txt"), async (deployment, hasTrouble) => {
    const record = text => deployment.record(text);
    const handle = exchange => writeEvents({ ...exchange, workMs: EVENT_MS, events: EVENTS });
    await deployment.start({
        manifest: createManifest(),
        gateways: 2,
        runners: 3,
        replicas: [1, 2, 3, 4].map(number => store =>
            new Replica({ id: `i-${number}`, service: MODEL, store, handle })
        ),
    });
    const { gateways, runners } = deployment;
    await pause(3000);
    const createItems = (count, parts) => Array.from({ length: count }, () => withPrompt(itemOf(BATCH_PATH), parts));
    const jobs = [];
    for (const [name, items] of [["large job", createItems(ITEMS, PROMPT_PARTS)], ["small job", createItems(10, 2)]]) {
        const jobId = newId();
        const bytes = JSON.stringify({ items }).length;
        const answer = await submitJob(gateways[0].front, { host: HOST, path: `${BATCH_PATH}${jobId}`, jobId, items });
        record(`${name} ${jobId}: ${items.length} items, ${bytes} bytes, answered ${answer.status}`);
        if (answer.status === 202) {
            jobs.push({ name, jobId, items, deniedCount: 0, acceptedAtMs: deployment.nowMs, mostResults: 0 });
        }
    }
    // Time at which a runner was killed or started last.
    let lastChangeAtMs = 0;
    let isReading = true;
    const isInTouch = () => deployment.nowMs > lastChangeAtMs + BOUNDS.contactMs;
    const readers = jobs.map(async job => {
        while (isReading) {
            const wasInTouch = isInTouch() && deployment.nowMs > job.acceptedAtMs + BOUNDS.settleMs;
            const answer = await readJob(gateways[1].front, { host: HOST, jobId: job.jobId });
            const total = answer.status === 200 ? JSON.parse(answer.text).results.length : 0;
            const isDenied = [404, 410].includes(answer.status) && wasInTouch && isInTouch();
            job.mostResults = Math.max(job.mostResults, total);
            job.deniedCount += isDenied ? 1 : 0;
            if (answer.status !== job.lastStatus) {
                record(`${job.name} read: ${answer.status}, ${total} results${isDenied ? ", in touch" : ""}`);
            }
            job.lastStatus = answer.status;
            await pause(READ_INTERVAL_MS);
        }
    });
    const leader = deployment.leader();
    const inTurn = [...runners.filter(runner => runner !== leader), leader];
    await pause(FIRST_LOSS_MS);
    for (const runner of inTurn) {
        if (hasTrouble) {
            lastChangeAtMs = deployment.nowMs;
            await runner.kill();
            runner.loseDisk();
            record(`${runner.name} is killed and has lost its disk`);
            await pause(DOWN_MS);
            lastChangeAtMs = deployment.nowMs;
            runner.start();
            record(`${runner.name} starts with an empty disk`);
        }
        await pause(LOSS_INTERVAL_MS - (hasTrouble ? DOWN_MS : 0));
    }
    await pause(CALM_MS);
    isReading = false;
    await Promise.all(readers);
    jobs.forEach(({ name, deniedCount, lastStatus, mostResults }) =>
        record(
            `${name}: ${lastStatus} at the end, up to ${mostResults} results read, ${deniedCount} times 404 in touch`,
        )
    );
    return jobs.some(({ deniedCount, lastStatus }) => deniedCount > 0 || lastStatus !== 200);
});

function withPrompt(item, parts) {
    const prefix = Array.from({ length: parts }, (_, index) => `${item.id.slice(0, 9)}${index.toString(16)}:10`).join();
    return { ...item, headers: { ...item.headers, "X-Prompt-Prefix": prefix } };
}
