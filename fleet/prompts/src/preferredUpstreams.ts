import { textHash } from "@knapweedwood/core.hashing/textHash";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";

const FIRST_FACTOR = 0x85eb_ca6b;
const SECOND_FACTOR = 0xc2b2_ae35;

/**
 * Returns the two upstreams with the highest rendezvous score for `key`, highest first. Processes that know the same
 * upstreams agree on them without messages.
 */
export function preferredUpstreams(key: number, upstreams: readonly Upstream[]): UpstreamId[] {
    let first: UpstreamId | undefined;
    let second: UpstreamId | undefined;
    let firstScore = -1;
    let secondScore = -1;
    for (const { id } of upstreams) {
        const score = mixed(textHash(id, key >>> 0));
        if (score > firstScore) {
            second = first;
            secondScore = firstScore;
            first = id;
            firstScore = score;
        }
        else if (score > secondScore) {
            second = id;
            secondScore = score;
        }
    }
    return [first, second].filter(id => id !== undefined);
}

/** Spreads the bits of a hash: those of ids that differ only at their end are close to each other. */
function mixed(hash: number): number {
    const first = Math.imul(hash ^ (hash >>> 16), FIRST_FACTOR);
    const second = Math.imul(first ^ (first >>> 13), SECOND_FACTOR);
    return (second ^ (second >>> 16)) >>> 0;
}
