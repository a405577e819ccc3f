import type { CallRecord } from "./callRecord.js";
import { expectedResponseBody } from "./expectedResponseBody.js";
import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";

const isSuccess = (call: CallRecord) => call.statusCode >= 200 && call.statusCode < 300;

/**
 * Returns a violation for each successful response that does not belong to its request. A complete response needs the
 * exact body and the proof of an upstream. An incomplete one needs a prefix of the body, with its events in order.
 */
export function checkResponses(record: SoakRecord): Violation[] {
    return record.calls.filter(call => isSuccess(call) && call.endedAtMs !== undefined).flatMap(call => {
        const expected = expectedResponseBody(call);
        const isExact = call.responseBody === expected;
        if (call.isComplete ? isExact && call.hasProof : expected.startsWith(call.responseBody)) {
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
