import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";

/** Stands between a process and the number of its crash. Keys of processes end with a number and don't contain it. */
const SEPARATOR = " #";

/**
 * Names of crashes in suspicions: the key of the process that broke off, with a number from the second on. A process
 * breaks off once more than it was counted for only after the crash before was withdrawn.
 */
export const crashId = {
    /** Returns the name of a crash of a process of which `withdrawn` are known not to have happened. */
    of: (process: UpstreamProcessKey, withdrawn: readonly UpstreamProcessKey[]): UpstreamProcessKey => {
        const earlier = withdrawn.filter(crash => crashId.processOf(crash) === process).length;
        return earlier === 0 ? process : `${process}${SEPARATOR}${earlier + 1}` as UpstreamProcessKey;
    },

    /** Returns the process that a crash is about. */
    processOf: (crash: UpstreamProcessKey): UpstreamProcessKey => crash.split(SEPARATOR)[0] as UpstreamProcessKey,
};
