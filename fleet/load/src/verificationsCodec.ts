import type { MirrorVerifications } from "@knapweedwood/fleet.view/mirrorVerifications";
import { groupsOf } from "./groupsOf.js";

/** Mirrors in the order of their numbers on the wire. */
const MIRRORS = ["operators", "upstreams", "processes"] as const;

/** Packs verifications as a number of the mirror, a revision and an age each, shape [3 * verifications]. */
export const verificationsCodec = {
    pack: (verifications: MirrorVerifications): number[] =>
        MIRRORS.flatMap((mirror, index) => {
            const verification = verifications[mirror];
            return verification === undefined ? [] : [index, verification.revision, Math.ceil(verification.ageMs)];
        }),
    /** Leaves out mirrors that this release doesn't know. */
    unpack: (packed: readonly number[]): MirrorVerifications =>
        Object.fromEntries(
            groupsOf(packed, 3).flatMap(([index, revision, ageMs]) => {
                const mirror = MIRRORS[index!];
                return mirror === undefined ? [] : [[mirror, { revision, ageMs }]];
            }),
        ),
};
