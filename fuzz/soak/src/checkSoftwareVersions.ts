import type { CallRecord } from "./callRecord.js";
import { groupBy } from "./groupBy.js";
import type { SoakRecord } from "./soakRecord.js";
import { softwareVersionsIn } from "./softwareVersionsIn.js";
import type { Violation } from "./violation.js";

/**
 * Returns a violation for each stream, over all requests with which its caller resumed it, and each item whose events
 * come from several software versions.
 */
export function checkSoftwareVersions(record: SoakRecord): Violation[] {
    const streams = [...groupBy(record.calls, (call: CallRecord) => call.resumedCallId ?? call.id)].map(
        ([id, calls]) => ({ id, text: calls.map(call => call.responseBody).join("\n") }),
    );
    const items = record.jobs
        .flatMap(job => job.results)
        .map(result => ({ id: result.itemId, text: result.output }));
    return [...streams, ...items]
        .filter(({ text }) => softwareVersionsIn(text).length > 1)
        .map(({ id, text }) => ({ promise: "one-software-version", detail: `${id}: ${text.slice(0, 300)}` }));
}
