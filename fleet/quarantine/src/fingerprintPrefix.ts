/** Begin of all fingerprints. Ids of prompt parts contain no colon, so the two can't be confused. */
export const FINGERPRINT_PREFIX = "request:";
