import { forwardableHeaders } from "@knapweedwood/core.http-headers/forwardableHeaders";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { HeaderList } from "@knapweedwood/fleet.upstreams/headerList";
import type { ItemRunHeaders } from "./itemRunHeaders.js";
import type { JobCaller } from "./jobCaller.js";
import type { JobItem } from "./jobItem.js";

/**
 * Returns the headers of a run of an item: those that the caller gave it, and those that this system sets, in whose place no
 * header of the caller goes to an upstream.
 *
 * @param opts.host host of the job's route
 * @param opts.caller who submitted the item; undefined where there are no teams
 */
export function itemHeadersOf(
    item: JobItem,
    opts: { names: ItemRunHeaders; host: string; upstreamId: UpstreamId; caller: JobCaller | undefined; },
): HeaderList {
    const { names, host, upstreamId, caller } = opts;
    const drop = [
        "host",
        "content-length",
        // The events of an item are read here, where no encoding is understood.
        "accept-encoding",
        names.requestId,
        names.expectedUpstream,
        names.lastEventId,
        ...caller === undefined ? [] : [names.key, names.team],
    ];
    const rawHeaders = item.record.headers.flatMap(({ name, value }) => [name, value]);
    const own = forwardableHeaders(rawHeaders, { drop }).flatMap(({ name, value }) => [name, value]);
    const list = ["host", host, ...own, names.requestId, item.id, names.expectedUpstream, upstreamId];
    if (caller?.team !== undefined) {
        list.push(names.team, caller.team);
    }
    if (item.lastEventId > 0) {
        list.push(names.lastEventId, String(item.lastEventId));
    }
    return list;
}
