import type { PromptRun } from "@knapweedwood/fleet.prompts/promptRun";
import type { RequestRun } from "@knapweedwood/fleet.quarantine/requestRun";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { ServerResponse } from "node:http";
import type { Attempt } from "./attempt.js";
import type { GatewayContext } from "./gatewayContext.js";
import { ResponseSampler } from "./responseSampler.js";
import { StallDetector } from "./stallDetector.js";

/** Returns an attempt that begins now; its exchange has no effect until it is replaced by that of the sent request. */
export function createAttempt(opts: {
    clock: GatewayContext["clock"];
    speeds: GatewayContext["speeds"];
    route: Route;
    response: ServerResponse;
    upstream: Upstream;
    requestRun: RequestRun;
    promptRun: PromptRun;
    onNoResponse: (attempt: Attempt) => void;
    onPaused: (attempt: Attempt) => void;
}): Attempt {
    const { clock, speeds, route, response, upstream, requestRun, promptRun } = opts;
    const attempt: Attempt = {
        upstream,
        startedAtMs: clock.nowMs(),
        isNotRun: false,
        isFull: false,
        notRunBodyBytes: 0,
        hasTinyParts: false,
        requestRun,
        promptRun,
        sampler: new ResponseSampler({ clock, speeds, upstream, isStream: route.kind === "stream" }),
        stallDetector: new StallDetector({
            clock,
            route,
            isCallerSlow: () => response.writableNeedDrain,
            onNoResponse: () => opts.onNoResponse(attempt),
            onPaused: () => opts.onPaused(attempt),
        }),
        exchange: { abort: () => undefined, pause: () => undefined, resume: () => undefined },
    };
    return attempt;
}
