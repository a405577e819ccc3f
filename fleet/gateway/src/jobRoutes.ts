import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { Acceptance } from "@knapweedwood/fleet.jobs/acceptance";
import { isJobIdValid } from "@knapweedwood/fleet.jobs/isJobIdValid";
import type { JobAcceptor } from "@knapweedwood/fleet.jobs/jobAcceptor";
import type { JobCaller } from "@knapweedwood/fleet.jobs/jobCaller";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { ServerResponse } from "node:http";
import type { CallerProtocol } from "./callerProtocol.js";
import type { JobCall } from "./jobCall.js";
import type { RemoteJobReader } from "./remoteJobReader.js";
import { sendFailure } from "./sendFailure.js";

const RETRY_AFTER_MS = 300;
const STATUS_CODES = { "over-limit": 429, "store-away": 503, "id-taken": 400, "not-storable": 400 };

/** Handles the HTTP calls about batch jobs. */
export class JobRoutes {
    private readonly opts: {
        logger: Logger;
        protocol: CallerProtocol;
        acceptor: JobAcceptor;
        reader: RemoteJobReader;
        onJobWritten: (revision: number) => void;
        isConfigurationCurrent: () => boolean;
    };

    /**
     * @param opts.onJobWritten called with the revision at which a job was written or cancelled; 0 if there is none
     * @param opts.isConfigurationCurrent whether the active configuration is certain to be the newest
     */
    constructor(opts: {
        logger: Logger;
        protocol: CallerProtocol;
        acceptor: JobAcceptor;
        reader: RemoteJobReader;
        onJobWritten: (revision: number) => void;
        isConfigurationCurrent: () => boolean;
    }) {
        this.opts = opts;
    }

    /**
     * Handles a submission. Responds with 202 once the job is stored, 504 if it is unknown whether it is, 429 or 503 if
     * it was rejected, 400 if decoding or accepting it fails or another team has a job with this id.
     *
     * @param opts.caller undefined while the configuration has no teams
     */
    async submit(
        route: Route,
        opts: { jobId: string; body: Buffer; caller: JobCaller | undefined; },
        response: ServerResponse,
    ): Promise<void> {
        const { jobId, body, caller } = opts;
        try {
            const submission = this.opts.protocol.decodeSubmission(jobId, body);
            const callerField = caller === undefined ? {} : { caller };
            this.sendAcceptance(await this.opts.acceptor.accept(route, { ...submission, ...callerField }), response);
        }
        catch (thrown) {
            this.opts.logger.warn("job-rejected", { jobId, message: (thrown as Error).message });
            sendFailure(response, { statusCode: 400, message: (thrown as Error).message });
        }
    }

    /**
     * Handles a call about an existing job; responds with 503 and a retry delay if it fails.
     *
     * @param caller undefined while the configuration has no teams
     */
    async handle(call: JobCall, caller: JobCaller | undefined, response: ServerResponse): Promise<void> {
        try {
            await this.dispatch(call, caller, response);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.info("job-call-failed", { ...call, code: error.code, message: error.message });
            sendFailure(response, { statusCode: 503, message: error.message, retryAfterMs: RETRY_AFTER_MS });
        }
    }

    private async dispatch(call: JobCall, caller: JobCaller | undefined, response: ServerResponse): Promise<void> {
        if (!isJobIdValid(call.jobId)) {
            sendFailure(response, { statusCode: 404, message: "No job can have this id" });
            return;
        }
        const callerField = caller === undefined ? {} : { caller };
        switch (call.kind) {
            case "read-results": {
                const page = await this.opts.reader.results({ ...call, ...callerField });
                this.send(
                    response,
                    caller,
                    page === undefined ? undefined : this.opts.protocol.encodeResultsPage(page),
                );
                return;
            }
            case "read-item": {
                const body = await this.opts.reader.itemBody({ ...call, ...callerField });
                this.send(response, caller, body, "application/octet-stream");
                return;
            }
            case "cancel": {
                const revision = await this.opts.acceptor.cancel(call.jobId, caller);
                this.opts.onJobWritten(revision ?? 0);
                this.send(response, caller, revision === undefined ? undefined : "{}");
            }
        }
    }

    private send(
        response: ServerResponse,
        caller: JobCaller | undefined,
        body: string | Uint8Array | undefined,
        type = "application/json",
    ): void {
        if (body === undefined && caller !== undefined && !this.opts.isConfigurationCurrent()) {
            const message = "No such job or item of the team in a configuration that may be outdated";
            sendFailure(response, { statusCode: 503, message, retryAfterMs: RETRY_AFTER_MS });
            return;
        }
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
                    statusCode: STATUS_CODES[acceptance.reason],
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
