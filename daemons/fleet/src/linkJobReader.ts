import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { RemoteJobReader } from "@knapweedwood/fleet.gateway/remoteJobReader";
import { itemBodyCall } from "@knapweedwood/fleet.jobs/itemBodyCall";
import type { JobCaller } from "@knapweedwood/fleet.jobs/jobCaller";
import { resultsCall } from "@knapweedwood/fleet.jobs/resultsCall";
import type { ResultsPage } from "@knapweedwood/fleet.jobs/resultsPage";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { Link } from "@knapweedwood/links.calls/link";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";

/** Time added to the wait of a call before it times out, in milliseconds. */
const CALL_SLACK_MS = 700;
/** Maximum wait for a result, in milliseconds. Shorter than the timeout of callers. */
const MAX_WAIT_MS = 900;

/** Reads jobs from the leader, over a link. Rejects with `JOBS_NOT_LED` if there is no known leader. */
export class LinkJobReader implements RemoteJobReader {
    private readonly endpoint: LinkEndpoint;
    private readonly leader: () => HostPort | undefined;

    constructor(opts: { endpoint: LinkEndpoint; leader: () => HostPort | undefined; }) {
        this.endpoint = opts.endpoint;
        this.leader = opts.leader;
    }

    /** Whether the caller has a job with this id, stored or held on disks. Rejects if that is uncertain. */
    async isKnown(jobId: JobId, caller: JobCaller | undefined): Promise<boolean> {
        const opts = { jobId, after: Number.MAX_SAFE_INTEGER, waitMs: 0 };
        return await this.results(caller === undefined ? opts : { ...opts, caller }) !== undefined;
    }

    async results(
        opts: { jobId: JobId; caller?: JobCaller; after: number; waitMs: number; },
    ): Promise<ResultsPage | undefined> {
        const waitMs = Math.min(opts.waitMs, MAX_WAIT_MS);
        const { jobId, after, caller } = opts;
        const request = { jobId, after, waitMs, ...caller === undefined ? {} : { caller } };
        const frame = await singleFrame(this.link().call(resultsCall, request, { timeoutMs: waitMs + CALL_SLACK_MS }));
        return frame.page;
    }

    async itemBody(opts: { jobId: JobId; itemId: ItemId; caller?: JobCaller; }): Promise<Uint8Array | undefined> {
        const { jobId, itemId, caller } = opts;
        const request = { jobId, itemId, ...caller === undefined ? {} : { caller } };
        const call = this.link().call(itemBodyCall, request, { timeoutMs: CALL_SLACK_MS });
        return (await singleFrame(call)).body;
    }

    private link(): Link {
        const leader = this.leader();
        if (leader === undefined) {
            throw new KnapweedError("JOBS_NOT_LED", "No runner is known to be the leader", { outcome: "not-run" });
        }
        return this.endpoint.connect(`${leader.host}:${leader.port}`);
    }
}
