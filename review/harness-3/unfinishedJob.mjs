import { pause } from "./replicaStandin.mjs";
import { submitJob } from "./submitJob.mjs";

const HOST = "jobs.example";
const FINISH_MS = 18_000;
const CALM_MS = 5000;
const NOTHING_FINISHED_MS = 3000;
const POLL_MS = 500;

/**
 * Submits a job and reads it until it is done or `finishS` and the calm seconds after it are over. Returns how the rule on open
 * items was broken, with its excuses, shape [texts].
 */
export async function findUnfinished(fleet, { id, items, record }) {
    await submitJob(fleet, { host: HOST, path: `/jobs/${id}`, id, items, record });
    const endsAtMs = Date.now() + FINISH_MS + CALM_MS;
    const listed = new Set();
    let seen = -1;
    while (Date.now() < endsAtMs && listed.size < items.length) {
        await pause(POLL_MS);
        const page = await fleet.call(fleet.gateways.at(-1), { host: HOST, path: `/api/lots/${id}?after=0` });
        const results = page.status === 200 ? JSON.parse(page.body).results : [];
        results.forEach(result => listed.add(result.id));
        if (listed.size !== seen) {
            seen = listed.size;
            record.note(`GET /api/lots: ${page.status}, ${seen} of ${items.length} items are listed`);
        }
    }
    const nowMs = Date.now();
    const runs = fleet.replicas.flatMap(replica => replica.runs);
    const open = items.filter(item => !listed.has(item.id));
    fleet.replicas.forEach(replica => {
        const arrived = replica.arrivals.filter(arrival => items.some(item => item.id === arrival.id)).length;
        record.note(`${replica.id}: ${arrived} requests with items, ${replica.rejections} rejected as not run`);
    });
    const isHad = runs.some(run => open.some(item => item.id === run.id) && (run.endedAtMs ?? nowMs) > nowMs - CALM_MS);
    const hasFinished = runs.some(run => run.isComplete && run.endedAtMs > nowMs - NOTHING_FINISHED_MS);
    const slots = fleet.replicas.reduce((sum, replica) => sum + replica.opts.slots, 0);
    const taken = fleet.replicas.reduce((sum, replica) => sum + Math.min(replica.running, replica.opts.slots), 0);
    record.note(`${open.length} items are open; ${taken} of ${slots} slots of the replicas are taken`);
    return open.length > 0 && !isHad && !hasFinished && taken * 2 < slots
        ? [`LOST: ${open.length} of ${items.length} items are listed neither as completed nor as dead_letter`]
        : [];
}
