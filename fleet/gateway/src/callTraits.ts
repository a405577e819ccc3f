import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import { fingerprintOf } from "@knapweedwood/fleet.quarantine/fingerprintOf";
import type { IncomingMessage } from "node:http";
import type { GatewayContext } from "./gatewayContext.js";
import { headerOf } from "./headerOf.js";

/** What an online request has in common with others. */
export class CallTraits {
    /** The parts of the prompt that other requests may share, shape [parts]. */
    readonly promptParts: PromptPartId[];
    readonly fingerprint: RequestFingerprint;

    constructor(
        context: Pick<GatewayContext, "decodeSharedPromptParts" | "headers">,
        request: IncomingMessage,
        body: Buffer,
    ) {
        this.promptParts = context.decodeSharedPromptParts(headerOf(request, context.headers.promptParts));
        this.fingerprint = fingerprintOf({
            host: headerOf(request, "host"),
            authorization: headerOf(request, "authorization"),
            method: request.method ?? "GET",
            path: request.url ?? "/",
            promptParts: this.promptParts,
            body,
        });
    }

    /** All traits, the most specific last, shape [traits]. */
    get all(): RequestTraitId[] {
        return [...this.promptParts, this.fingerprint];
    }
}
