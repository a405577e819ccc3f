import type { MirrorVerification } from "./mirrorVerification.js";

/** What the key-value service said to a process a short time ago; without those mirrors of which it said nothing. */
export interface MirrorVerifications {
    operators?: MirrorVerification;
    upstreams?: MirrorVerification;
    processes?: MirrorVerification;
}
