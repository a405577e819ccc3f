import type { CallKind } from "./callKind.js";
import { expectedEvents } from "./expectedEvents.js";
import { paddingOf } from "./paddingOf.js";

/** Returns the complete body of the only correct response to a call. */
export function expectedResponseBody(call: { kind: CallKind; body: string; resumedAfter: number; }): string {
    const events = expectedEvents(call.body);
    return call.kind === "stream" || call.kind === "stream-once"
        ? events.map((data, index) => `id: ${index + 1}\ndata: ${data}\n\n`).slice(call.resumedAfter).join("")
        : `${events.join(",")}${paddingOf(call.body)}`;
}
