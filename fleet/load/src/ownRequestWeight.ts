/**
 * Cost of the request itself, as the time of this many requests at an upstream. The higher it is, the more requests a
 * fast upstream gets before a slow one gets its first.
 */
export const OWN_REQUEST_WEIGHT = 3;
