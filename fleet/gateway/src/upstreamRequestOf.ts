import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ExchangeRequest } from "@knapweedwood/fleet.upstreams/exchangeRequest";
import type { CallHeaderNames } from "@knapweedwood/fleet.view/callHeaderNames";
import type { IncomingMessage } from "node:http";
import { upstreamHeadersOf } from "./upstreamHeadersOf.js";

/** Returns the request that an attempt sends to an upstream. */
export function upstreamRequestOf(
    request: IncomingMessage,
    opts: {
        names: CallHeaderNames;
        body: Buffer;
        requestId: RequestId;
        /** Whether the configuration has teams. */
        hasTeams: boolean;
        /** The team of the caller; undefined for none. */
        teamId: TeamId | undefined;
        upstreamId: UpstreamId;
        remainingMs: number;
        /** Id of the event after which the attempt resumes; undefined if it starts from the beginning. */
        lastEventId: number | undefined;
    },
): ExchangeRequest {
    return {
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: upstreamHeadersOf({ ...opts, rawHeaders: request.rawHeaders }),
        body: opts.body.length === 0 ? undefined : opts.body,
        requestId: opts.requestId,
    };
}
