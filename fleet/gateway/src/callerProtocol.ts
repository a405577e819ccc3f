import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { JobSubmission } from "@knapweedwood/fleet.jobs/jobSubmission";
import type { ResultsPage } from "@knapweedwood/fleet.jobs/resultsPage";
import type { CallHeaderNames } from "@knapweedwood/fleet.view/callHeaderNames";
import type { PromptPart } from "@knapweedwood/fleet.view/promptPart";
import type { IncomingMessage } from "node:http";
import type { JobCall } from "./jobCall.js";

/** Decodes callers' requests and encodes responses in the callers' wire format. */
export interface CallerProtocol {
    readonly headers: CallHeaderNames;
    /** Path of the load balancer's readiness check. */
    readonly readinessPath: string;
    /** Decodes the parts of a prompt that other requests may share from the header that lists them, shape [parts]. */
    decodeSharedPromptParts(value: string | undefined): PromptPartId[];
    /** Decodes all parts of a prompt in their order from the same header, shape [parts]. */
    decodePromptParts(value: string | undefined): PromptPart[];
    /** Decodes the number of tokens that a response may have from the header with the token counts; undefined if it names none. */
    decodeMaxTokens(value: string | undefined): number | undefined;
    /** Decodes a call about a job; returns undefined for any other request. */
    parseJobCall(request: IncomingMessage): JobCall | undefined;
    /** Decodes a job submission. Throws `SUBMISSION_INVALID` if it is malformed. */
    decodeSubmission(jobId: string, body: Buffer): JobSubmission;
    /** Encodes a page of results as a JSON response body. */
    encodeResultsPage(page: ResultsPage): string;
}
