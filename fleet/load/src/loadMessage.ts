import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { EncodedReport } from "./encodedReport.js";

/**
 * A datagram of the exchange of load. `direct` is the report of the sender itself; `relayed` are reports that a relay
 * hands on, possibly none.
 */
export type LoadMessage =
    | { kind: "direct"; report: EncodedReport; }
    | { kind: "relayed"; sender: InstanceName; reports: EncodedReport[]; };
