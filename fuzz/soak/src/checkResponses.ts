import type { CallRecord } from "./callRecord.js";
import { expectedResponseBody } from "./expectedResponseBody.js";
import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";
import { withoutSoftwareVersions } from "./withoutSoftwareVersions.js";

/** Part of an event's software version at the end of a response that was cut off there. */
const CUT_SIGNATURE = /@v?$/u;

const isSuccess = (call: CallRecord) => call.statusCode >= 200 && call.statusCode < 300;

/**
 * Returns a violation for each successful response that does not belong to its request. A complete response needs the
 * exact body and the proof of an upstream. An incomplete one needs a prefix of the body, with its events in order.
 */
export function checkResponses(record: SoakRecord): Violation[] {
    return record.calls.filter(call => isSuccess(call) && call.endedAtMs !== undefined).flatMap(call => {
        const expected = expectedResponseBody(call);
        const received = withoutSoftwareVersions(call.responseBody);
        const isExact = received === expected;
        if (call.isComplete ? isExact && call.hasProof : expected.startsWith(received.replace(CUT_SIGNATURE, ""))) {
            return [];
        }
        const promise = call.kind === "stream" || call.kind === "stream-once" ? "events-in-order" : "answer-belongs";
        const detail = `${call.id} ${call.kind} at ${call.gateway}: ${JSON.stringify(call.responseBody.slice(0, 200))}`
            + ` instead of ${
                JSON.stringify(expected.slice(0, 200))
            }, complete ${call.isComplete}, proof ${call.hasProof}`;
        return [{ promise, detail }];
    });
}
