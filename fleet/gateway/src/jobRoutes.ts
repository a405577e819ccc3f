import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { Acceptance } from "@knapweedwood/fleet.jobs/acceptance";
import type { JobAcceptor } from "@knapweedwood/fleet.jobs/jobAcceptor";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { ServerResponse } from "node:http";
import type { CallerProtocol } from "./callerProtocol.js";
import type { JobCall } from "./jobCall.js";
import type { RemoteJobReader } from "./remoteJobReader.js";
import { sendFailure } from "./sendFailure.js";

const RETRY_AFTER_MS = 300;

/** Handles the HTTP calls about batch jobs. */
export class JobRoutes {
    private readonly opts: {
        logger: Logger;
        protocol: CallerProtocol;
        acceptor: JobAcceptor;
        reader: RemoteJobReader;
        onJobWritten: (revision: number) => void;
    };

    /** @param opts.onJobWritten called with the revision at which a job was written or cancelled; 0 if there is none */
    constructor(opts: {
        logger: Logger;
        protocol: CallerProtocol;
        acceptor: JobAcceptor;
        reader: RemoteJobReader;
        onJobWritten: (revision: number) => void;
    }) {
        this.opts = opts;
    }

    /**
     * Handles a submission. Responds with 202 once the job is stored, 504 if it is unknown whether it is, 429 or 503 if
     * it was rejected, 400 if decoding or accepting it fails.
     */
    async submit(route: Route, jobId: string, body: Buffer, response: ServerResponse): Promise<void> {
        try {
            const submission = this.opts.protocol.decodeSubmission(jobId, body);
            this.sendAcceptance(await this.opts.acceptor.accept(route, submission), response);
        }
        catch (thrown) {
            this.opts.logger.warn("job-rejected", { jobId, message: (thrown as Error).message });
            sendFailure(response, { statusCode: 400, message: (thrown as Error).message });
        }
    }

    /** Handles a call about an existing job; responds with 503 and a retry delay if it fails. */
    async handle(call: JobCall, response: ServerResponse): Promise<void> {
        try {
            await this.dispatch(call, response);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.info("job-call-failed", { ...call, code: error.code, message: error.message });
            sendFailure(response, { statusCode: 503, message: error.message, retryAfterMs: RETRY_AFTER_MS });
        }
    }

    private async dispatch(call: JobCall, response: ServerResponse): Promise<void> {
        switch (call.kind) {
            case "read-results": {
                const page = await this.opts.reader.results(call);
                this.send(response, page === undefined ? undefined : this.opts.protocol.encodeResultsPage(page));
                return;
            }
            case "read-item": {
                const body = await this.opts.reader.itemBody(call.jobId, call.itemId);
                this.send(response, body, "application/octet-stream");
                return;
            }
            case "cancel": {
                const revision = await this.opts.acceptor.cancel(call.jobId);
                this.opts.onJobWritten(revision ?? 0);
                this.send(response, revision === undefined ? undefined : "{}");
            }
        }
    }

    private send(response: ServerResponse, body: string | Uint8Array | undefined, type = "application/json"): void {
        if (body === undefined) {
            sendFailure(response, { statusCode: 404, message: "No such job or item" });
            return;
        }
        response.writeHead(200, { "content-type": type, "content-length": Buffer.byteLength(body) });
        response.end(body);
    }

    private sendAcceptance(acceptance: Acceptance, response: ServerResponse): void {
        switch (acceptance.kind) {
            case "accepted":
                this.opts.onJobWritten(acceptance.revision);
                response.writeHead(202, { "content-type": "application/json", "content-length": 2 });
                response.end("{}");
                return;
            case "refused":
                sendFailure(response, {
                    statusCode: acceptance.reason === "over-limit" ? 429 : 503,
                    message: acceptance.reason,
                    retryAfterMs: acceptance.retryAfterMs,
                });
                return;
            case "unknown":
                sendOutcomeUnknown(response);
        }
    }
}

/** Responds without a retry delay, since the job may have been stored. */
function sendOutcomeUnknown(response: ServerResponse): void {
    const error = new KnapweedError("JOB_UNSETTLED", "It is not known whether the job was stored", {
        outcome: "unknown",
    });
    sendFailure(response, { statusCode: 504, message: error.message });
}
