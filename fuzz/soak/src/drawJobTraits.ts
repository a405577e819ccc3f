import type { Random } from "@knapweedwood/core.random/random";
import { wireHeaders } from "@knapweedwood/platform.adapter/wireHeaders";
import type { JobTraits } from "./jobTraits.js";

const PLAIN_SHARE = 0.6;
const ODD_SHARE = 0.25;
const LARGE_SHARE = 0.05;
/** Share of the odd headers that an odd job has. */
const HEADER_SHARE = 0.3;
/** Together the headers of a large job's items are larger than a value of the key-value service. */
const LARGE_ITEMS = 90;
const LARGE_HEADER_BYTES = 15_000;

/** Headers of which the system sets its own, or that concern one connection, or that are merely rare. */
const ODD_HEADERS: readonly (readonly [string, string])[] = [
    ["Host", "other.example"],
    ["hOsT", ""],
    ["Content-Length", "1"],
    ["Transfer-Encoding", "chunked"],
    ["Expect", "100-continue"],
    ["Upgrade", "h2c"],
    ["Keep-Alive", "timeout=1"],
    ["Connection", "close, X-Listed"],
    ["TE", "trailers"],
    [wireHeaders.requestId, "of-another"],
    [wireHeaders.lastEventId, "3"],
    [wireHeaders.expectedUpstream, "another"],
    ["X-Latin", "\u00e9"],
    ["!#$%&'*+-.^_`|~", "\t"],
];
const INVALID_HEADERS: readonly (readonly [string, string])[] = [
    ["", "v"],
    ["a b", "v"],
    ["a:", "v"],
    ["\u00e9", "v"],
    ["X-A", "a\r\nX-B: c"],
    ["X-A", "\u0000"],
    ["X-A", "\u65e5"],
    ["X-A", "a".repeat(LARGE_HEADER_BYTES + 2000)],
];

/** Draws whether the items of a job are plain, odd, large or impossible to run. */
export function drawJobTraits(random: Random): JobTraits {
    const drawn = random.next();
    if (drawn < PLAIN_SHARE) {
        return { headers: {}, items: undefined, isInvalid: false };
    }
    if (drawn < PLAIN_SHARE + ODD_SHARE) {
        const headers = ODD_HEADERS.filter(() => random.next() < HEADER_SHARE);
        return { headers: Object.fromEntries(headers), items: undefined, isInvalid: false };
    }
    if (drawn < PLAIN_SHARE + ODD_SHARE + LARGE_SHARE) {
        return { headers: { "X-Large": "a".repeat(LARGE_HEADER_BYTES) }, items: LARGE_ITEMS, isInvalid: false };
    }
    const [name, value] = INVALID_HEADERS[random.nextInteger(INVALID_HEADERS.length)]!;
    return { headers: { [name]: value }, items: undefined, isInvalid: true };
}
