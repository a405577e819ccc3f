/**
 * Size of the part of a response that is kept for a slow caller, in bytes, before the upstream has to wait. An upstream
 * breaks off a response that isn't read for some seconds.
 */
export const MAX_UNSENT_BYTES = 262_144;
