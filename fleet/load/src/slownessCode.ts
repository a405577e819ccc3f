/** Steps for a factor of two. A step is 9 %, less than the difference from which on a speed is reported. */
const STEPS_PER_OCTAVE = 8;
/** The code of 1. Codes from 0 to 127 take one byte in msgpack. */
const UNIT_CODE = 64;
const MAX_CODE = 127;

/** Codes of slowness in load reports, on a logarithmic scale. */
export const slownessCode = {
    encode(slowness: number): number {
        return Math.min(MAX_CODE, Math.max(0, UNIT_CODE + Math.round(Math.log2(slowness) * STEPS_PER_OCTAVE)));
    },

    decode(code: number): number {
        return 2 ** ((code - UNIT_CODE) / STEPS_PER_OCTAVE);
    },
};
