import { pause } from "./replicaStandin.mjs";

const RETRY_MS = 500;
const ATTEMPTS = 20;

/** Submits a job, again at another gateway after 429, 503 or no answer, as clients do. Throws if it isn't accepted. */
export async function submitJob(fleet, { host, path, id, items, record }) {
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
        const node = fleet.gateways[attempt % fleet.gateways.length];
        const answer = await fleet.call(node, {
            host,
            method: "POST",
            path,
            headers: { "x-request-id": id, "content-type": "application/json" },
            body: JSON.stringify({ items }),
        });
        record.note(`POST ${id} at ${node.name}: ${answer.status ?? answer.error}`);
        if (answer.status === 202) {
            return;
        }
        await pause(RETRY_MS);
    }
    throw new Error("the job wasn't accepted");
}
