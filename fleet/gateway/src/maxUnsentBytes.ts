/**
 * Size of the unsent part of a response, in bytes, above which the upstream's response is paused. Pausing it as soon as the
 * caller is slow would lose responses, since an upstream breaks off one that isn't read for some seconds.
 */
export const MAX_UNSENT_BYTES = 262_144;
