import type { JobSubmission } from "@knapweedwood/fleet.jobs/jobSubmission";
import type { ResultsPage } from "@knapweedwood/fleet.jobs/resultsPage";
import type { CallHeaderNames } from "@knapweedwood/fleet.view/callHeaderNames";
import type { IncomingMessage } from "node:http";
import type { JobCall } from "./jobCall.js";

/** How callers' requests are spelled. */
export interface CallerProtocol {
    readonly headers: CallHeaderNames;
    /** Path of the balancer's question whether this process takes callers. */
    readonly readinessPath: string;
    /** Reads a call about a job; undefined where the request is none. */
    parseJobCall(request: IncomingMessage): JobCall | undefined;
    /** Decodes a submission. Throws `SUBMISSION_INVALID`. */
    decodeSubmission(jobId: string, body: Buffer): JobSubmission;
    encodeResultsPage(page: ResultsPage): string;
}
