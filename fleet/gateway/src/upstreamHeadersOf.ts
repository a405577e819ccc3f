import { forwardableHeaders } from "@knapweedwood/core.http-headers/forwardableHeaders";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { HeaderList } from "@knapweedwood/fleet.upstreams/headerList";
import type { CallHeaderNames } from "@knapweedwood/fleet.view/callHeaderNames";

const MIN_REMAINING_MS = 1;

/** Returns the headers for an upstream: the caller's forwardable headers and the headers of this attempt. */
export function upstreamHeadersOf(opts: {
    /** Alternating names and values, shape [2 * headers]. */
    rawHeaders: readonly string[];
    names: CallHeaderNames;
    /** Whether the configuration has teams, so that the key of the caller stays with this process. */
    hasTeams: boolean;
    /** The team of the caller; undefined for none. */
    teamId: TeamId | undefined;
    upstreamId: UpstreamId;
    remainingMs: number;
    /** Id of the event after which the attempt resumes; undefined if it starts from the beginning. */
    lastEventId: number | undefined;
}): HeaderList {
    const { names, lastEventId } = opts;
    const drop = [
        names.remainingMs,
        names.expectedUpstream,
        "content-length",
        ...lastEventId === undefined ? [] : [names.lastEventId],
        ...opts.hasTeams ? [names.key, names.team] : [],
    ];
    const kept = forwardableHeaders(opts.rawHeaders, { drop }).flatMap(field => [field.name, field.value]);
    const remainingMs = Math.max(MIN_REMAINING_MS, Math.floor(opts.remainingMs));
    kept.push(names.remainingMs, String(remainingMs), names.expectedUpstream, opts.upstreamId);
    if (opts.teamId !== undefined) {
        kept.push(names.team, opts.teamId);
    }
    if (lastEventId !== undefined) {
        kept.push(names.lastEventId, String(lastEventId));
    }
    return kept;
}
